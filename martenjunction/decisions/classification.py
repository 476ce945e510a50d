"""Assigns service classes to requests by bindings and policies."""

from collections.abc import Iterable
import dataclasses

from martenjunction import errors
from martenjunction.config import fleet
from martenjunction.decisions import policies


@dataclasses.dataclass(frozen=True, slots=True)
class Classification:
    """The service class of a request and how it was chosen.

    Attributes:
        service_class: The service class.
        zones: Availability zones preferred by policies, best first.
        reasons: Explanation of the choice, one sentence per step.
    """

    service_class: fleet.ServiceClass
    zones: tuple[str, ...]
    reasons: tuple[str, ...]


class Classifier:
    """Applies the bindings and policies of one configuration."""

    def __init__(self, config: fleet.FleetConfig) -> None:
        """Parses the policies; those with parse errors are skipped."""
        self._config = config
        self._programs: list[tuple[fleet.Policy, policies.Program]] = []
        self._broken: dict[str, str] = {}
        self._bound = {
            (binding.workspace, binding.kind): binding.service_class
            for binding in config.binding.values()
        }
        for policy in config.policy.values():
            try:
                program = policies.Program(policy.name, policy.source)
            except errors.PolicyError as error:
                self._broken[policy.name] = str(error)
            else:
                self._programs.append((policy, program))

    @property
    def broken(self) -> dict[str, str]:
        """Policies that failed to parse, with the error message."""
        return dict(self._broken)

    def programs(self) -> Iterable[policies.Program]:
        """Yields the active policies."""
        for _, program in self._programs:
            yield program

    def classify(
        self, workspace: fleet.Workspace, facts: policies.RequestFacts
    ) -> Classification:
        """Returns the service class of a request.

        Args:
            workspace: The caller's workspace.
            facts: The request's known properties.

        Raises:
            MartenjunctionError: If the default class is not configured.
        """
        service_class = self._bound_class(workspace, facts.kind)
        reasons = [f"bindings give class {service_class.name}"]
        facts = dataclasses.replace(facts, default_class=service_class.name)
        zones: tuple[str, ...] = ()
        for policy, program in self._programs:
            if policy.workspaces and workspace.name not in policy.workspaces:
                continue
            name = program.classify(facts)
            if name is not None and name not in self._config.classes:
                reasons.append(
                    f"policy {policy.name} names class {name}, which is"
                    " not configured"
                )
            elif name is not None:
                service_class = self._config.classes[name]
                reasons.append(f"policy {policy.name} gives class {name}")
            zones = zones or program.place(facts)
        if zones:
            reasons.append(f"policies prefer {', '.join(zones)}")
        return Classification(service_class, zones, tuple(reasons))

    def _bound_class(
        self, workspace: fleet.Workspace, kind: str
    ) -> fleet.ServiceClass:
        name = self._bound.get((workspace.name, kind))
        name = name or self._bound.get((workspace.name, fleet.ANY_KIND))
        name = name or workspace.default_class
        try:
            return self._config.classes[name]
        except KeyError:
            raise errors.MartenjunctionError(
                f"class {name!r} is not configured"
            ) from None
