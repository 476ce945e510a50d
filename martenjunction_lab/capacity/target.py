"""The size that decides the design, and what follows from it."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Target:
    """The target of the users' first letter.

    Attributes:
        daemons: Daemons.
        replicas: Endpoints.
        requests_s: Requests a second at the peak.
        tokens_s: Tokens a second at the peak.
        workspaces: Workspaces.
        models: Models in steady use.
        zones: Availability zones.
        regions: Regions.
        changes_day: Changes of configuration a day.
        box_events_day: Boxes that fail, are restarted or replaced a day.
        control_core: Part of a core that control may cost a daemon.
        control_bytes_s: Bytes a second that control may cost a daemon.
        control_mb: Megabytes that control may cost a daemon.
        platform_writes_s: Writes that the platform takes a second.
        platform_reads_s: Reads that the platform takes a second.
        keyed_share: Assumed part of requests that have to be claimed.
    """

    daemons: int = 540
    replicas: int = 12_000
    requests_s: int = 59_000
    tokens_s: int = 25_000_000
    workspaces: int = 890
    models: int = 6
    zones: int = 25
    regions: int = 9
    changes_day: int = 65_000
    box_events_day: int = 908
    control_core: float = 0.041
    control_bytes_s: int = 3_000
    control_mb: int = 64
    platform_writes_s: int = 300
    platform_reads_s: int = 2_000
    keyed_share: float = 0.02

    @property
    def requests_each_s(self) -> float:
        """Requests a second at one daemon."""
        return self.requests_s / self.daemons

    @property
    def tokens_each_s(self) -> float:
        """Tokens a second through one daemon."""
        return self.tokens_s / self.daemons

    @property
    def daemons_a_zone(self) -> float:
        """Daemons in one availability zone."""
        return self.daemons / self.zones

    @property
    def links_each(self) -> float:
        """Connections of one daemon.

        It has one to each box of its own zone, and two to each other zone of
        its region.
        """
        other_zones = self.zones / self.regions - 1
        return self.daemons_a_zone - 1 + 2 * other_zones

    @property
    def changes_s(self) -> float:
        """Changes of configuration a second, spread over the day."""
        return self.changes_day / 86_400

    @property
    def config_objects(self) -> int:
        """Objects of configuration: endpoints, workspaces, bindings."""
        return self.replicas + 3 * self.workspaces + 20 * self.models


TARGET = Target()
