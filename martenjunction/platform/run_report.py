"""What an endpoint reports of its runs."""

import msgspec

from martenjunction import decoding

METHOD = b"GET"
PATH = b"/report"


class _Report(msgspec.Struct):
    runs: list[list[msgspec.Raw]]


def decode_run_ids(body: bytes) -> frozenset[str]:
    """Returns the ids of the requests that run at an endpoint.

    Args:
        body: The report, as it stood some hundred milliseconds ago.

    Raises:
        MalformedError: If it does not tell the runs.
    """
    report = decoding.from_json(body, _Report)
    return frozenset(
        decoding.from_json(bytes(run[0]), str) for run in report.runs if run
    )
