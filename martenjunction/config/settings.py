"""The settings of one daemon."""

import dataclasses
from typing import Annotated

import pydantic

from martenjunction import errors
from martenjunction.config import ini
from martenjunction.config import units

FORBID = pydantic.ConfigDict(extra="forbid")


@dataclasses.dataclass(frozen=True)
class DaemonSettings:
    """What a daemon is told at start.

    Attributes:
        box: The name of the box; unique in the fleet.
        zone: The availability zone, and the region before a slash if any.
        callers: Address for callers.
        operators: Address for operators.
        peers: Address for the other daemons.
        operator_key: Key that operators must show.
        peer_key: Key that daemons share.
        platform: URL of the platform's object API, or empty for none.
        fleet: A configuration file, for a daemon without a platform.
        log: File for the JSON lines, or `-` for standard error.
        body_limit: Largest request body, in bytes.
        header_limit: Largest request header, in bytes.
        max_runs: Requests that this daemon may have at endpoints at once.
        max_held: Requests that this daemon may hold in all.
        write_window: Seconds between two writes of one stream while the
            event loop is busy.
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
    platform: str = ""
    fleet: str = ""
    log: str = "-"
    body_limit: units.Bytes = 8 * 1024**2
    header_limit: units.Bytes = 64 * 1024
    max_runs: Annotated[int, pydantic.Field(ge=1, le=20000)] = 2048
    max_held: Annotated[int, pydantic.Field(ge=1, le=100000)] = 8192
    write_window: units.Seconds = 0.02
    entry_ttl: units.Seconds = 10.0
    drain_limit: units.Seconds = 600.0
    loop: Annotated[str, pydantic.Field(pattern="^(uvloop|asyncio)$")] = (
        "uvloop"
    )


def read_daemon(path: str) -> DaemonSettings:
    """Reads the settings of a daemon.

    Raises:
        SettingsError: If the file is missing or anything in it is wrong.
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
            "set platform, or fleet for a daemon without a platform",
            path,
            "daemon",
        )
    return settings
