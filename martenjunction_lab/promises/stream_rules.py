"""Rules on the events of streams."""

from collections.abc import Iterator

from martenjunction_lab.promises import cases
from martenjunction_lab.promises import events
from martenjunction_lab.promises import rules

_STREAMS = (events.RouteKind.STREAM, events.RouteKind.RESUMABLE)


@rules.rule("stream-order", rules.Section.STREAMS)
def stream_order(history: events.History) -> Iterator[rules.Broken]:
    """The events of a stream come once each and in order."""
    for case, sent in cases.sent(history):
        for number, piece in enumerate(case.pieces, sent.after_event + 1):
            if piece.number != number:
                yield case.broken("stream-order", piece.at)
                break


@rules.rule("stream-run", rules.Section.STREAMS)
def stream_run(history: events.History) -> Iterator[rules.Broken]:
    """The events come from one run; if it may be resumed, from each in turn."""
    for case, sent in cases.sent(history):
        runs: list[int] = []
        for piece in case.pieces:
            if not piece.attempt or runs[-1:] == [piece.attempt]:
                continue
            may_begin = sent.kind is events.RouteKind.RESUMABLE or not runs
            if piece.attempt in runs or not may_begin:
                yield case.broken("stream-run", piece.at)
                break
            runs.append(piece.attempt)


@rules.rule("stream-version", rules.Section.STREAMS)
def stream_version(history: events.History) -> Iterator[rules.Broken]:
    """All events of a stream come from one version, and so does its length.

    What clients take up later counts as well.
    """
    begun: dict[str, events.Piece] = {}
    for case, sent in sorted(cases.sent(history), key=lambda made: made[1].at):
        first = begun.get(sent.resumes)
        for piece in case.pieces:
            first = first or piece
            versions = {first.version, piece.version} - {""}
            if len(versions) > 1 or first.total != piece.total:
                yield case.broken("stream-version", piece.at)
                break
        if first is not None:
            begun[case.request] = first


@rules.rule("stream-end", rules.Section.STREAMS)
def stream_end(history: events.History) -> Iterator[rules.Broken]:
    """No stream ends as complete before its last event."""
    for case, sent in cases.sent(history):
        if sent.kind not in _STREAMS or not case.is_served:
            continue
        last = case.pieces[-1] if case.pieces else None
        if last is None:
            # The client has them all if it takes up a stream at its end.
            before = cases.of(history).get(sent.resumes)
            ends = [] if before is None else before.pieces
            complete = any(its.total == sent.after_event for its in ends)
        else:
            complete = last.number == last.total
        if not complete:
            yield case.broken("stream-end", case.ended_at)
