"""The settings file that the platform lays on each box."""

import dataclasses
import tomllib
from typing import Any

from martenjunction import errors

# Names the file's path in the environment.
SETTINGS_VARIABLE = "MARTENJUNCTION_SETTINGS"

# The port for metrics and the dump; deploy/system.toml names it too.
METRICS_PORT = 9464

MEGABYTE = 1024 * 1024
MEGABIT = 1_000_000
BITS_PER_BYTE = 8
MS = 0.001


@dataclasses.dataclass(frozen=True)
class BoxSettings:
    """What one box is told.

    Attributes:
        box: The box's name.
        zone: Its availability zone.
        region: The zone's region.
        ip: The box's IP address.
        zones: Region of each availability zone.
        callers: Address for clients' requests.
        ready: Address that the platform asks for readiness.
        entry: Address that clients ask where to go.
        peers: Address for other daemons.
        seeds: Addresses for daemons of some boxes; they may be gone.
        store: Address of the platform's store.
        memory_bytes: Limit on the process's memory.
        max_descriptors: Limit on its descriptors.
        link_bytes_s: Bytes a second that its link carries, each way.
        drain_s: Seconds within which a leaving endpoint gets no more work.
        stop_s: Seconds from the signal to stop to the kill.
        key_lifetime_s: Seconds for which a key may be honoured after the
            configuration that removes it.
        change_s: Seconds within which a change of the configuration has to be
            in force.
        keys_fail_closed: Whether that holds for a box without the store too.
        retry_ratio: Repeats allowed for each request.
        retry_window_s: Seconds over which repeats are counted.
        retry_allowance: Repeats allowed whatever the requests.
        max_entry_ttl_s: Longest life of an address answer.
        metrics_port: Port for metrics and the dump, at the box's IP address.
    """

    box: str
    zone: str
    region: str
    ip: str
    zones: dict[str, str]
    callers: str
    ready: str
    entry: str
    peers: str
    seeds: tuple[str, ...]
    store: str
    memory_bytes: int
    max_descriptors: int
    link_bytes_s: float
    drain_s: float
    stop_s: float
    key_lifetime_s: float
    change_s: float
    keys_fail_closed: bool
    retry_ratio: float
    retry_window_s: float
    retry_allowance: float
    max_entry_ttl_s: float
    metrics_port: int = METRICS_PORT


def read(path: str) -> BoxSettings:
    """Reads the settings file.

    Args:
        path: The file.

    Raises:
        SettingsError: If it is missing, malformed or lacks a field.
    """
    try:
        with open(path, "rb") as file:
            table = tomllib.load(file)
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise errors.SettingsError(str(error), path) from error
    try:
        return _decode(table)
    except (KeyError, TypeError, ValueError) as error:
        raise errors.SettingsError(
            f"missing or wrong: {error}", path
        ) from error


def _decode(table: dict[str, Any]) -> BoxSettings:
    # Fields that we do not know are skipped, as the platform asks.
    listen = table["listen"]
    limits = table["limits"]
    bounds = table["bounds"]
    return BoxSettings(
        box=table["node"],
        zone=table["zone"],
        region=table["region"],
        ip=table["ip"],
        zones=dict(table.get("zones", {})),
        callers=listen["frontend"],
        ready=listen["ready"],
        entry=listen["directory"],
        # Nobody outside calls this address: it is free for our daemons.
        peers=listen["control_plane"],
        seeds=tuple(table.get("seeds", ())),
        store=table["platform"]["address"],
        memory_bytes=int(limits["memory_mb"]) * MEGABYTE,
        max_descriptors=int(limits["max_fds"]),
        link_bytes_s=limits["link_mbps"] * MEGABIT / BITS_PER_BYTE,
        drain_s=bounds["drain_ms"] * MS,
        stop_s=float(bounds["grace_s"]),
        key_lifetime_s=bounds["revoke_ms"] * MS,
        change_s=bounds["config_ms"] * MS,
        keys_fail_closed=bool(bounds["fail_closed"]),
        retry_ratio=float(bounds["retry_ratio"]),
        retry_window_s=float(bounds["retry_window_s"]),
        retry_allowance=float(bounds["retry_slack"]),
        max_entry_ttl_s=float(bounds["ttl_max_s"]),
    )
