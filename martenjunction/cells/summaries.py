"""Throttles the sending of cell summaries."""

import dataclasses

from martenjunction.cells import messages

# Seconds after which an unchanged summary is sent again. Must be shorter than
# `cell_choice.SUMMARY_LIFETIME`, after which entry daemons drop it.
REFRESH_INTERVAL_S = 4.0

# Minimum change of a predicted delay, as a fraction and in milliseconds, for a
# summary to be sent; both must be exceeded.
CHANGE_FRACTION = 0.25
CHANGE_MS = 20


@dataclasses.dataclass(slots=True)
class _Sent:
    at: float
    summary: messages.Summary


class SummaryThrottle:
    """Selects the summaries that changed since they were last sent."""

    def __init__(self) -> None:
        self._sent: dict[str, _Sent] = {}

    def select_due(
        self, summaries: list[messages.Summary], now: float
    ) -> list[messages.Summary]:
        """Returns the summaries that are due and marks them as sent."""
        due = [s for s in summaries if self._is_due(s, now)]
        for summary in due:
            self._sent[summary.cell] = _Sent(now, summary)
        return due

    def forget(self) -> None:
        """Makes all summaries due again, for a new receiver."""
        self._sent.clear()

    def _is_due(self, summary: messages.Summary, now: float) -> bool:
        sent = self._sent.get(summary.cell)
        if sent is None or now - sent.at >= REFRESH_INTERVAL_S:
            return True
        old = sent.summary
        if (summary.free == 0) != (old.free == 0):
            return True
        pairs = zip(summary.delay_ms, old.delay_ms, strict=True)
        return any(_differs(new, before) for new, before in pairs)


def _differs(new: int, old: int) -> bool:
    return abs(new - old) > max(CHANGE_MS, CHANGE_FRACTION * max(new, old))
