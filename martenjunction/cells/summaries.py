"""Decides when a cell's summary is worth sending again."""

import dataclasses

from martenjunction.cells import messages

# Seconds after which a summary is sent again though nothing changed; entry
# daemons forget one after somewhat longer.
REFRESH = 4.0

# A predicted delay has changed when it moved by this part and by so much.
CHANGE_PART = 0.25
CHANGE_MS = 20


@dataclasses.dataclass(slots=True)
class _Sent:
    at: float
    summary: messages.Summary


class SummaryGate:
    """Remembers what was sent last of each cell."""

    def __init__(self) -> None:
        self._sent: dict[str, _Sent] = {}

    def pass_on(
        self, summaries: list[messages.Summary], now: float
    ) -> list[messages.Summary]:
        """Returns the summaries that have to be sent now."""
        due = [s for s in summaries if self._is_due(s, now)]
        for summary in due:
            self._sent[summary.cell] = _Sent(now, summary)
        return due

    def forget(self) -> None:
        """Sends everything again, since somebody new listens."""
        self._sent.clear()

    def _is_due(self, summary: messages.Summary, now: float) -> bool:
        sent = self._sent.get(summary.cell)
        if sent is None or now - sent.at >= REFRESH:
            return True
        old = sent.summary
        if (summary.free == 0) != (old.free == 0):
            return True
        pairs = zip(summary.delay_ms, old.delay_ms, strict=True)
        return any(_differs(new, before) for new, before in pairs)


def _differs(new: int, old: int) -> bool:
    return abs(new - old) > max(CHANGE_MS, CHANGE_PART * max(new, old))
