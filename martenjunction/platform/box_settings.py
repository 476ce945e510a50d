"""The settings file that the platform provides on each box."""

import dataclasses
import enum
import math
import tomllib
from typing import Any

from martenjunction import errors

# Environment variable with the path of the settings file.
SETTINGS_VARIABLE = "MARTENJUNCTION_SETTINGS"

# Port for metrics and the dump; must match deploy/system.toml.
METRICS_PORT = 9464

MEGABYTE = 1024 * 1024
MEGABIT = 1_000_000
BITS_PER_BYTE = 8
MS = 0.001


class Duty(enum.StrEnum):
    """A duty of the fleet, by the platform's name."""

    USAGE = "metering"
    SCALING = "autoscaling"


@dataclasses.dataclass(frozen=True)
class DutySettings:
    """The duties that one box of the fleet performs at a time.

    Attributes:
        address: IP address and port of the service that takes their calls.
        kinds: The duties.
        no_return_s: Seconds within which the holder may not change to another
            box and back.
        window_s: Seconds of a window of usage.
        usage_due_s: Seconds after the end of a window at which its usage is
            due.
    """

    address: str
    kinds: frozenset[Duty]
    no_return_s: float
    window_s: float
    usage_due_s: float


@dataclasses.dataclass(frozen=True)
class BoxSettings:
    """The settings of a box.

    Attributes:
        box: The box's name.
        zone: Its availability zone.
        region: The zone's region.
        ip: The box's IP address.
        zones: Region of each availability zone.
        callers: Address for clients' requests.
        ready: Address of the readiness check.
        entry: Address where clients resolve the gateways' addresses.
        peers: Address for other daemons.
        tunnels: Address for other daemons' tunnels to endpoints; "" for none.
        seeds: Addresses of daemons of some boxes, which may no longer exist.
        store: Address of the platform's store.
        memory_bytes: Limit on the process's memory in bytes.
        max_descriptors: Limit on the process's file descriptors.
        link_bytes_s: Bandwidth of the box's link in each direction, in bytes
            per second.
        drain_s: Seconds after which a leaving endpoint must get no new
            requests.
        stop_s: Seconds from the termination signal to the kill.
        key_lifetime_s: Seconds for which an API key may still be accepted after
            the configuration change that removes it.
        change_s: Seconds within which a configuration change must be in force.
        keys_fail_closed: Whether the limit on removed keys also applies to a
            box that cannot reach the store.
        retry_ratio: Retries allowed per request.
        retry_window_s: Seconds over which retries are counted.
        retry_allowance: Retries allowed independently of the request count.
        max_entry_ttl_s: Maximum TTL of a resolve response in seconds.
        first_start: Whether the whole fleet starts for the first time.
        duties: The duties of the fleet that one box performs; None if there are
            none.
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
    first_start: bool = False
    duties: DutySettings | None = None
    metrics_port: int = METRICS_PORT
    tunnels: str = ""


def read(path: str) -> BoxSettings:
    """Reads the settings file.

    Args:
        path: Path of the file.

    Returns:
        The settings of this box.

    Raises:
        SettingsError: If the file is missing or malformed, or lacks a field.
    """
    try:
        with open(path, "rb") as file:
            table = tomllib.load(file)
    except (OSError, ValueError, RecursionError) as error:
        # The decoder's own error is a ValueError, as are those of Python for
        # invalid Unicode and too long numbers.
        raise errors.SettingsError(str(error), path) from error
    try:
        return _decode(table)
    except (
        AttributeError,
        KeyError,
        OverflowError,
        TypeError,
        ValueError,
    ) as error:
        raise errors.SettingsError(
            f"missing or invalid setting: {error}", path
        ) from error


def _decode(table: dict[str, Any]) -> BoxSettings:
    # The platform requires that unknown fields are ignored.
    listen = table["listen"]
    limits = table["limits"]
    bounds = table["bounds"]
    return BoxSettings(
        box=_text(table["node"]),
        zone=_text(table["zone"]),
        region=_text(table["region"]),
        ip=_text(table["ip"]),
        zones={
            _text(zone): _text(region)
            for zone, region in table.get("zones", {}).items()
        },
        callers=_text(listen["frontend"]),
        ready=_text(listen["ready"]),
        entry=_text(listen["directory"]),
        # Not used from outside, so that daemons can use it for their peers.
        peers=_text(listen["control_plane"]),
        seeds=tuple(map(_text, table.get("seeds", ()))),
        store=_text(table["platform"]["address"]),
        memory_bytes=int(limits["memory_mb"]) * MEGABYTE,
        max_descriptors=int(limits["max_fds"]),
        link_bytes_s=_number(limits["link_mbps"]) * MEGABIT / BITS_PER_BYTE,
        drain_s=_number(bounds["drain_ms"]) * MS,
        stop_s=_number(bounds["grace_s"]),
        key_lifetime_s=_number(bounds["revoke_ms"]) * MS,
        change_s=_number(bounds["config_ms"]) * MS,
        keys_fail_closed=bool(bounds["fail_closed"]),
        retry_ratio=_number(bounds["retry_ratio"]),
        retry_window_s=_number(bounds["retry_window_s"]),
        retry_allowance=_number(bounds["retry_slack"]),
        max_entry_ttl_s=_number(bounds["ttl_max_s"]),
        first_start=bool(table.get("bootstrap", False)),
        duties=_decode_duties(table.get("cloud", {}), bounds),
        tunnels=_tunnels_address(table),
    )


def _text(value: object) -> str:
    """Returns a setting that is text.

    Raises:
        TypeError: If it is of another type.
    """
    if not isinstance(value, str):
        raise TypeError(f"{value!r} is not a string")
    return value


def _number(value: Any) -> float:
    """Returns a setting that is a finite number.

    Raises:
        TypeError: If it is of another type.
        ValueError: If it is not finite.
    """
    number = float(value)
    if not math.isfinite(number):
        raise ValueError(f"{value!r} is not finite")
    return number


def _tunnels_address(table: dict[str, Any]) -> str:
    """Returns an address within the range of ports for daemons, or ""."""
    ports = table.get("port_range", ())
    return f"{table['ip']}:{int(ports[0])}" if ports else ""


def _decode_duties(
    cloud: dict[str, Any], bounds: dict[str, Any]
) -> DutySettings | None:
    """Decodes the duties; None if the deployment has none.

    Raises:
        KeyError: If a field is missing.
        ValueError: If a value is out of range.
    """
    known = {duty.value for duty in Duty}
    kinds = frozenset(
        Duty(name) for name in cloud.get("duties", ()) if name in known
    )
    if not kinds:
        return None
    window_s = _number(bounds["window_s"])
    if window_s <= 0:
        raise ValueError(f"window_s is {window_s}")
    return DutySettings(
        address=_text(cloud["address"]),
        kinds=kinds,
        no_return_s=_number(bounds["lease_ms"]) * MS,
        window_s=window_s,
        usage_due_s=_number(bounds["usage_late_s"]),
    )
