"""Broken builds that take one connection for what stands behind it."""

from tools import broken_build

BrokenBuild = broken_build.BrokenBuild

BUILDS = (
    BrokenBuild(
        "an answer on another connection proves the list of endpoints",
        "martenjunction/decisions/boxes/list_age.py",
        "if store <= max(listed, self._checked_revision):",
        "if True:",
        "tests/test_lost_watches.py::test_endpoint_that_left_gets_no_work_after_two_lost_watches",
    ),
    BrokenBuild(
        "connections that may be silent are kept",
        "martenjunction/platform/http_calls.py",
        "            self._close_idle_since(began_at)\n",
        "",
        "tests/test_silent_store_connections.py::test_one_call_is_lost_to_connections_that_fell_silent_together",
    ),
    BrokenBuild(
        "a broken connection ends the run behind it",
        "martenjunction/routing/requests/continuations.py",
        "if broken is None or (self._state.continuation and not resumes):",
        "if True:",
        "tests/test_lost_answers.py::test_stream_continues_only_once_the_run_it_lost_is_over",
    ),
    BrokenBuild(
        "a report that may be older than a run ends it",
        "martenjunction/decisions/boxes/run_fates.py",
        "if report.asked_at - begun_at < MAX_REPORT_AGE_S:",
        "if False:",
        "tests/test_lost_answers.py::test_run_is_over_only_if_its_endpoint_shows_it",
    ),
)
