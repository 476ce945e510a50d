"""Lines of one kind beyond the limit of a second.

Guards against connections that end together and of which most leave no trace:
forty of them could not be told from a thousand.
"""

from typing import Any

import eliot
import pytest

from martenjunction.routing.log import decision_log

LIMIT = decision_log.MAX_LINES_PER_S


class Lines:
    """A log on a clock of its own, and what it wrote."""

    def __init__(self) -> None:
        self.now = 10.0
        self.log = decision_log.DecisionLog(lambda: self.now)
        self.written: list[tuple[str, dict[str, Any]]] = []

    def take(self, message_type: str, **fields: Any) -> None:
        self.written.append((message_type, fields))

    def write(self, kind: str, count: int) -> None:
        for _ in range(count):
            self.log.write(kind)

    def reports(self) -> list[tuple[str, int]]:
        return [
            (fields["kind"], fields["count"])
            for name, fields in self.written
            if name == "lines-left-out"
        ]


@pytest.fixture
def lines(monkeypatch: pytest.MonkeyPatch) -> Lines:
    made = Lines()
    monkeypatch.setattr(eliot, "log_message", made.take)
    return made


def test_lines_left_out_are_told_with_the_next_line(lines: Lines) -> None:
    lines.write("connection-closed", LIMIT + 7)
    assert len(lines.written) == LIMIT
    lines.now = 11.0
    lines.write("request", LIMIT)
    assert lines.reports() == [("connection-closed", 7)]
    lines.now = 12.0
    lines.write("request", 1)
    assert lines.reports() == [("connection-closed", 7)]
    assert lines.log.dropped == {"connection-closed": 7}
