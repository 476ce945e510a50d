"""Settings of a daemon."""

import dataclasses
from typing import Annotated

import pydantic

from martenjunction import errors
from martenjunction.config import ini
from martenjunction.config import units

FORBID = pydantic.ConfigDict(extra="forbid")


@dataclasses.dataclass(frozen=True)
class DaemonSettings:
    """Settings that a daemon reads at start.

    Attributes:
        box: The name of the box; unique in the fleet.
        zone: The availability zone, and the region before a slash if any.
        callers: Address for callers.
        operators: Address for operators.
        peers: Address for the other daemons.
        listen_callers: Where it listens for callers, if that is not the
            address that they use.
        listen_peers: The same for other daemons.
        operator_key: Key that operators must show.
        peer_key: Key that daemons share.
        platform: URL of the platform's object API, or empty for none.
        fleet: A configuration file, for a daemon without a platform.
        seeds: Peer addresses of some boxes, for a start while the platform
            does not answer.
        log: File for the JSON lines, or `-` for standard error.
        body_limit: Largest request body, in bytes.
        header_limit: Largest request header, in bytes.
        max_held: Requests that this daemon may hold at once.
        entry_ttl: Seconds for which callers may keep an entry answer.
        drain_limit: Longest planned stop, in seconds.
        loop: `uvloop` or `asyncio`.
    """

    __pydantic_config__ = FORBID

    box: str
    zone: str
    callers: units.Address
    operators: units.Address
    peers: units.Address
    operator_key: str
    peer_key: str
    listen_callers: units.Address | None = None
    listen_peers: units.Address | None = None
    platform: str = ""
    fleet: str = ""
    seeds: units.Words = ()
    log: str = "-"
    body_limit: units.Bytes = 8 * 1024**2
    header_limit: units.Bytes = 64 * 1024
    max_held: Annotated[int, pydantic.Field(ge=1, le=20000)] = 2048
    entry_ttl: units.Seconds = 10.0
    drain_limit: units.Seconds = 600.0
    loop: Annotated[str, pydantic.Field(pattern="^(uvloop|asyncio)$")] = (
        "uvloop"
    )


def read_daemon(path: str) -> DaemonSettings:
    """Reads the settings of a daemon.

    Raises:
        SettingsError: If the file is missing or invalid.
    """
    sections = {section.title: section for section in ini.read(path)}
    unknown = sorted(set(sections) - {"daemon"})
    if unknown:
        raise errors.SettingsError("unknown section", path, unknown[0])
    if "daemon" not in sections:
        raise errors.SettingsError("section [daemon] is missing", path)
    settings = ini.validate(DaemonSettings, sections["daemon"])
    if not settings.platform and not settings.fleet:
        raise errors.SettingsError(
            "set platform, or set fleet to run without a platform",
            path,
            "daemon",
        )
    return settings
