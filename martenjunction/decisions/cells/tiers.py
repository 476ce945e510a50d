"""Which tier is next: strict for taking away, shared for giving."""

import dataclasses

# All tiers, the highest first.
TIERS = range(1, 5)


@dataclasses.dataclass(frozen=True, slots=True)
class TierSettings:
    """How places that come free are shared between tiers.

    Attributes:
        share: Part of the granted work that a waiting lower tier is sure of,
            between 0 and 1.
        longest_pause: Seconds without a grant after which a waiting tier is
            due whatever its share.
        reserve: Part of a cell's places that only the highest tier may take,
            unless a lower tier is due.
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
    """Deficit counters that keep every waiting tier moving.

    A tier that waits behind a higher one earns credit with each grant to the
    higher one, in proportion to its cost. Credit only ever decides who takes
    a place that came free; it is never a reason to shed or to preempt.
    """

    def __init__(self, settings: TierSettings) -> None:
        self._settings = settings
        self._accounts: dict[int, _Account] = {}

    def waiting(self, tier: int, now: float) -> None:
        """Notes that a tier has requests waiting; starts its pause clock."""
        account = self._accounts.setdefault(tier, _Account())
        if not account.waiting:
            account.waiting = True
            account.credit = 0.0
            account.last_grant = now

    def idle(self, tier: int) -> None:
        """Notes that nothing of a tier waits; it saves up nothing."""
        account = self._accounts.get(tier)
        if account is not None:
            account.waiting = False

    def due(self, tiers: list[int], now: float) -> int | None:
        """Returns the lower tier that must come next, if any.

        Args:
            tiers: Tiers with waiting requests, the highest first.
            now: The current time.
        """
        overdue = [tier for tier in tiers[1:] if self._is_due(tier, now)]
        if not overdue:
            return None
        return min(overdue, key=lambda tier: self._accounts[tier].last_grant)

    def granted(
        self, tier: int, cost: float, tiers: list[int], now: float
    ) -> None:
        """Books a grant.

        Args:
            tier: The tier that got the place.
            cost: The work granted, in tokens.
            tiers: Tiers that were waiting, the granted one among them.
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


# Tokens of credit that make a tier due: about one short answer.
MIN_CREDIT = 32.0
