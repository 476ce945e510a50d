"""Whether a run whose connection broke is over.

Load pattern: the answer to a stream is reset, while its endpoint goes on with
the run or drops it. The connection does not tell which. A run that continued
elsewhere at once would run twice at a time.

What tells is the endpoint: it has ended, is another one now, or reports its
runs. A report is some hundred milliseconds old as it arrives, so it says
nothing of a run that may be younger than the report. An endpoint that this box
does not reach is not waited for.
"""

import dataclasses
import enum

# Upper bound of the age in seconds of a report as it is asked for.
MAX_REPORT_AGE_S = 1.0


class RunFate(enum.StrEnum):
    """What is known of a run.

    Attributes:
        OVER: It has ended.
        UNREACHED: This box does not reach its endpoint.
        AT_WORK: Its endpoint reported it.
        UNKNOWN: Its endpoint did not tell.
    """

    OVER = "over"
    UNREACHED = "unreached"
    AT_WORK = "at-work"
    UNKNOWN = "unknown"

    @property
    def may_continue(self) -> bool:
        """Whether the run may continue at another endpoint."""
        return self in (RunFate.OVER, RunFate.UNREACHED)


class Standing(enum.Enum):
    """What a question to an endpoint showed.

    Attributes:
        REPORTS: It reports its runs.
        ENDED: It has ended: its port refuses, or is another endpoint's.
        UNREACHED: It is not reached.
        SILENT: It is reached, but did not report.
    """

    REPORTS = "reports"
    ENDED = "ended"
    UNREACHED = "unreached"
    SILENT = "silent"


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """The answer to a question.

    Attributes:
        asked_at: Time of the question on the steady clock.
        standing: What it showed of the endpoint.
        runs: Ids of the requests that it reports as running.
    """

    asked_at: float
    standing: Standing
    runs: frozenset[str] = frozenset()


_FATES = {
    Standing.ENDED: RunFate.OVER,
    Standing.UNREACHED: RunFate.UNREACHED,
    Standing.SILENT: RunFate.UNKNOWN,
}


def fate(report: Report, request_id: str, begun_at: float) -> RunFate:
    """Returns what a report tells of a run.

    Args:
        report: The report.
        request_id: The request.
        begun_at: Time at which the run was known to have begun.
    """
    if report.standing is not Standing.REPORTS:
        return _FATES[report.standing]
    if request_id in report.runs:
        return RunFate.AT_WORK
    if report.asked_at - begun_at < MAX_REPORT_AGE_S:
        return RunFate.UNKNOWN
    return RunFate.OVER
