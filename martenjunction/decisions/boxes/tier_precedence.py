"""Which tier goes first where all endpoints of a service name limits.

Grants go to whoever asks; without this a lower tier that asks more often would
get more of them.
"""

import dataclasses

# Seconds for which lower tiers let those go first that were refused: their
# callers come back within that time.
HELD_S = 1.0

# Of so many requests of a lower tier one is not held back, so that each tier
# makes progress.
SHARE_OF = 8

# Services that are remembered; the oldest give way.
MAX_SERVICES = 1024


@dataclasses.dataclass(slots=True)
class _Service:
    refused_at: dict[int, float] = dataclasses.field(default_factory=dict)
    held_back: int = 0


class TierPrecedence:
    """One box's account of what was refused for want of grants."""

    def __init__(self) -> None:
        self._services: dict[str, _Service] = {}

    def note_refused(self, service: str, tier: int, now: float) -> None:
        """Notes that a request was refused, as no endpoint takes it.

        Args:
            service: Its service.
            tier: Its tier; 0 goes first.
            now: The current time.
        """
        known = self._services.get(service)
        if known is None:
            while len(self._services) >= MAX_SERVICES:
                del self._services[next(iter(self._services))]
            known = self._services[service] = _Service()
        known.refused_at[tier] = now

    def holds_back(self, service: str, tier: int, now: float) -> bool:
        """Returns whether a request lets those of a higher tier go first.

        Args:
            service: Its service.
            tier: Its tier.
            now: The current time.
        """
        known = self._services.get(service)
        if known is None or not any(
            higher < tier and now - refused_at < HELD_S
            for higher, refused_at in known.refused_at.items()
        ):
            return False
        known.held_back += 1
        return known.held_back % SHARE_OF != 0
