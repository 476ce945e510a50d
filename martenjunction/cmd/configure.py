"""`martenjunction apply`, `get`, `diff`, `history` and `rollback`."""

import asyncio
import dataclasses
import getpass
import json
import time
from typing import Annotated

import cappa

from martenjunction import errors
from martenjunction.cmd import check
from martenjunction.cmd import remote
from martenjunction.config import fleet
from martenjunction.endpoints import client
from martenjunction.objects import client as object_client
from martenjunction.objects import configuration
from martenjunction.objects import model

ConflictError = configuration.ConflictError

POLL_INTERVAL = 0.2


class NotInForceError(errors.MartenjunctionError):
    """Some daemons did not apply a change in time."""


@cappa.command(
    help=(
        "Check files and put what changed in force: martenjunction apply"
        " fleet.ini --platform http://127.0.0.1:6000"
    )
)
@dataclasses.dataclass
class Apply:
    """Applies configuration files."""

    files: Annotated[list[str], cappa.Arg(help="INI files.")]
    platform: remote.PlatformUrl
    operator_key: Annotated[
        str,
        cappa.Arg(
            long=True,
            default=cappa.Env("MARTENJUNCTION_OPERATOR_KEY", default=""),
            help="The operators' key, for --wait.",
        ),
    ]
    wait: Annotated[
        float,
        cappa.Arg(
            long=True,
            help="Seconds to wait until every live daemon has it in force.",
        ),
    ] = 0.0

    def __call__(self, output: cappa.Output) -> None:
        """Applies the files."""
        documents, config = fleet.read(self.files)
        check.check_policies(config)

        async def work(http: client.EndpointClient) -> None:
            platform = object_client.ObjectClient(self.platform)
            service = configuration.Configuration(platform, getpass.getuser())
            changes = await service.apply(documents)
            for change in changes:
                output.output(f"{change.key} is at version {change.version}")
            if not changes:
                output.output("nothing to change")
            if self.wait and changes:
                seconds = await self._wait(http, platform, changes)
                output.output(f"in force everywhere after {seconds:.2f} s")

        remote.run_with_http(work)

    async def _wait(
        self,
        http: client.EndpointClient,
        platform: object_client.ObjectClient,
        changes: list[configuration.Change],
    ) -> float:
        started = time.monotonic()
        lagging = {"everywhere"}
        while time.monotonic() - started < self.wait:
            listed = await platform.boxes(0)
            lagging = await self._lagging_daemons(http, listed.boxes, changes)
            if not lagging:
                return time.monotonic() - started
            await asyncio.sleep(POLL_INTERVAL)
        raise NotInForceError(
            f"not in force after {self.wait} s on {', '.join(sorted(lagging))}"
        )

    async def _lagging_daemons(
        self,
        http: client.EndpointClient,
        boxes: list[model.ListedBox],
        changes: list[configuration.Change],
    ) -> set[str]:
        daemons = [
            box
            for box in boxes
            if box.role is model.BoxRole.DAEMON
            and box.state is model.BoxState.LIVE
        ]
        query = "&".join(f"key={change.key}" for change in changes)
        applied = await asyncio.gather(
            *(self._has_versions(http, box, query, changes) for box in daemons)
        )
        return {
            box.name
            for box, in_force in zip(daemons, applied, strict=True)
            if not in_force
        }

    async def _has_versions(
        self,
        http: client.EndpointClient,
        box: model.ListedBox,
        query: str,
        changes: list[configuration.Change],
    ) -> bool:
        try:
            response = await remote.call_daemon(
                http,
                box.operators,
                self.operator_key,
                "GET",
                f"/operator/config?{query}",
            )
        except remote.NoAnswerError:
            return False
        versions = response.json()["versions"]
        return all(versions[c.key] >= c.version for c in changes)


@cappa.command(help="Print the configuration that the platform keeps.")
@dataclasses.dataclass
class Get:
    """Prints configuration objects in the form of an INI file."""

    platform: remote.PlatformUrl

    def __call__(self, output: cappa.Output) -> None:
        """Prints the objects."""
        documents = []
        for change in _current(self.platform).values():
            path = change.key.removeprefix(fleet.KEY_PREFIX)
            kind, _, name = path.partition("/")
            if change.values is not None:
                documents.append(fleet.Document(kind, name, change.values))
        output.output(fleet.to_ini(documents))


@cappa.command(help="Show what apply would change.")
@dataclasses.dataclass
class Diff:
    """Shows how files differ from what the platform keeps."""

    files: Annotated[list[str], cappa.Arg(help="INI files.")]
    platform: remote.PlatformUrl

    def __call__(self, output: cappa.Output) -> None:
        """Prints one line per difference."""
        documents, _ = fleet.read(self.files)
        current = _current(self.platform)
        for document in documents:
            known = current.get(document.key)
            values = known.values if known is not None else None
            for line in configuration.diff_values(values, document.values):
                output.output(f"{document.key}: {line}")


@cappa.command(help="Show the versions of one object.")
@dataclasses.dataclass
class History:
    """Shows an object's versions."""

    key: Annotated[str, cappa.Arg(help="Such as config/class/quote.")]
    platform: remote.PlatformUrl

    def __call__(self, output: cappa.Output) -> None:
        """Prints one line per version, newest first."""

        async def work(
            platform: object_client.ObjectClient,
        ) -> list[configuration.Change]:
            service = configuration.Configuration(platform, getpass.getuser())
            return await service.history(self.key)

        for change in remote.with_platform(self.platform, work):
            values = json.dumps(change.values)
            output.output(f"{change.version} {change.operator} {values}")


@cappa.command(help="Put an object's former values in force again.")
@dataclasses.dataclass
class Rollback:
    """Writes a former version as a new one."""

    key: Annotated[str, cappa.Arg(help="Such as config/class/quote.")]
    version: Annotated[int, cappa.Arg(help="The version to go back to.")]
    platform: remote.PlatformUrl

    def __call__(self, output: cappa.Output) -> None:
        """Writes the version."""

        async def work(
            platform: object_client.ObjectClient,
        ) -> configuration.Change:
            service = configuration.Configuration(platform, getpass.getuser())
            return await service.rollback(self.key, self.version)

        change = remote.with_platform(self.platform, work)
        output.output(f"{change.key} is at version {change.version}")


def _current(url: str) -> dict[str, configuration.Change]:
    async def work(
        platform: object_client.ObjectClient,
    ) -> dict[str, configuration.Change]:
        service = configuration.Configuration(platform, getpass.getuser())
        return await service.current()

    return remote.with_platform(url, work)
