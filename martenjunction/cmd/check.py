"""`martenjunction check` and `explain`: work on files, without a daemon."""

import dataclasses
import json
from typing import Annotated

import cappa

from martenjunction import errors
from martenjunction.config import fleet
from martenjunction.decisions import classification
from martenjunction.decisions import policies


@cappa.command(help="Check configuration files: martenjunction check fleet.ini")
@dataclasses.dataclass
class Check:
    """Checks configuration files together."""

    files: Annotated[list[str], cappa.Arg(help="INI files.")]

    def __call__(self, output: cappa.Output) -> None:
        """Checks the files."""
        documents, config = fleet.read(self.files)
        check_policies(config)
        output.output(f"{len(documents)} sections are valid")


def check_policies(config: fleet.FleetConfig) -> None:
    """Compiles every policy.

    Raises:
        PolicyError: If a policy is invalid; the message contains the policy,
            the line and the column.
    """
    for policy in config.policy.values():
        try:
            policies.Program(policy.name, policy.source)
        except errors.PolicyError as error:
            raise errors.PolicyError(
                f"policy {policy.name}: {error}"
            ) from error


@cappa.command(
    help=(
        "Show which class a request would get, and why: martenjunction"
        " explain fleet.ini --workspace field --model vintage-lm"
    )
)
@dataclasses.dataclass
class Explain:
    """Explains what a described request would get."""

    files: Annotated[list[str], cappa.Arg(help="INI files.")]
    workspace: Annotated[str, cappa.Arg(long=True, help="The workspace.")]
    model: Annotated[
        str, cappa.Arg(long=True, help="The model or plain service.")
    ]
    kind: Annotated[str, cappa.Arg(long=True, help="The request kind.")] = (
        "chat"
    )
    prompt_tokens: Annotated[
        int, cappa.Arg(long=True, help="Length of the prompt, in tokens.")
    ] = 1

    def __call__(self, output: cappa.Output) -> None:
        """Prints the explanation as JSON."""
        _, config = fleet.read(self.files)
        check_policies(config)
        output.output(json.dumps(self.explain(config), indent=2))

    def explain(self, config: fleet.FleetConfig) -> dict[str, object]:
        """Returns class, zones, service, endpoints and reasons.

        Raises:
            MartenjunctionError: If the workspace or service does not exist.
        """
        workspace = config.workspace.get(self.workspace)
        service = config.service_for_model(self.model)
        service = service or config.service.get(self.model)
        if workspace is None or service is None:
            missing = self.workspace if workspace is None else self.model
            raise errors.MartenjunctionError(f"{missing!r} is not configured")
        facts = policies.RequestFacts(
            self.workspace, self.kind, self.model, self.prompt_tokens, 0, ""
        )
        result = classification.Classifier(config).classify(workspace, facts)
        endpoints = config.endpoints_of(service.name)
        return {
            "class": dataclasses.asdict(result.service_class),
            "zones": list(result.zones),
            "service": service.name,
            "endpoints": sorted(endpoint.name for endpoint in endpoints),
            "reasons": list(result.reasons),
        }
