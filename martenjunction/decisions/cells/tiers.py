"""Tier scheduling: shares apply to grants, strict priority otherwise.

Shedding and preemption always follow strict priority.
"""

import dataclasses

# All tiers, highest first.
TIERS = range(1, 5)


@dataclasses.dataclass(frozen=True, slots=True)
class TierSettings:
    """Settings for sharing freed slots between tiers.

    Attributes:
        share: Fraction of the granted work that is guaranteed to a waiting
            lower tier, 0 to 1.
        longest_pause: Seconds without a grant after which a waiting tier is
            due regardless of its share.
        reserve: Fraction of a cell's slots that only the highest tier may
            occupy, unless a lower tier is due.
    """

    share: float = 0.05
    longest_pause: float = 4.0
    reserve: float = 0.05


@dataclasses.dataclass(slots=True)
class _Account:
    credit: float = 0.0
    last_grant: float = 0.0
    waiting: bool = False


class TierShares:
    """Deficit counters that prevent starvation of waiting tiers.

    A tier that waits behind a higher one earns credit with each grant to the
    higher one, in proportion to its cost. Credit only decides which tier gets a
    freed slot; it never causes shedding or preemption.
    """

    def __init__(self, settings: TierSettings) -> None:
        self._settings = settings
        self._accounts: dict[int, _Account] = {}

    def waiting(self, tier: int, now: float) -> None:
        """Marks a tier as having waiting requests."""
        account = self._accounts.setdefault(tier, _Account())
        if not account.waiting:
            account.waiting = True
            account.credit = 0.0
            account.last_grant = now

    def idle(self, tier: int) -> None:
        """Marks a tier as having no waiting requests; it earns no credit."""
        account = self._accounts.get(tier)
        if account is not None:
            account.waiting = False

    def due(self, tiers: list[int], now: float) -> int | None:
        """Returns the lower tier that must be granted next, or None.

        Args:
            tiers: Tiers with waiting requests, highest first.
            now: The current time.
        """
        overdue = [tier for tier in tiers[1:] if self._is_due(tier, now)]
        if not overdue:
            return None
        return min(overdue, key=lambda tier: self._accounts[tier].last_grant)

    def granted(
        self, tier: int, cost: float, tiers: list[int], now: float
    ) -> None:
        """Records a grant.

        Args:
            tier: The tier of the granted request.
            cost: Cost of the granted request in tokens.
            tiers: The waiting tiers, including the granted one.
            now: The current time.
        """
        account = self._accounts.setdefault(tier, _Account())
        account.last_grant = now
        account.credit = (
            min(0.0, account.credit - cost) if (account.credit > 0) else 0.0
        )
        for other in tiers:
            if other > tier:
                self._accounts[other].credit += cost * self._settings.share

    def _is_due(self, tier: int, now: float) -> bool:
        account = self._accounts[tier]
        pause = now - account.last_grant
        return (
            account.credit >= MIN_CREDIT
            or pause >= self._settings.longest_pause
        )


# Credit in tokens at which a tier is due; about one short answer.
MIN_CREDIT = 32.0
