"""Broken builds of clients' connections that an exploration has to notice."""

from tools import broken_build

BrokenBuild = broken_build.BrokenBuild

SERVER_CONNECTION = "martenjunction/http1/server_connection.py"
CONNECTION_RECORD = "martenjunction/http1/connection_record.py"
RESTING = "martenjunction/http1/resting.py"
EXCHANGE = "martenjunction/routing/requests/exchange.py"
ATTEMPTS = "martenjunction/routing/requests/attempts.py"
ENDPOINT_RUN = "martenjunction/routing/requests/endpoint_run.py"
REQUEST_BODIES = "martenjunction/http1/request_bodies.py"
STREAMS = "martenjunction/http1/streams.py"

# The timer is stopped twice as a request is taken.
END_OF_BODY = (
    "                self._timer.cancel()\n                return body\n"
)
END_OF_BODY_IN_USE = "                return body\n"

SHORT_EXPLORATION = (
    "tests/test_explore_connection.py::"
    "test_short_exploration_finds_no_counterexample"
)

EXPLORED_RESTS = (
    "tests/test_explore_connection.py::"
    "test_events_in_situations_show_no_counterexample[rest]"
)
EXPLORED_CHECKS = (
    "tests/test_explore_connection.py::"
    "test_events_in_situations_show_no_counterexample[check]"
)
EXPLORED_UNREAD = (
    "tests/test_explore_connection.py::"
    "test_events_in_situations_show_no_counterexample[unread]"
)

BUILDS = (
    BrokenBuild(
        "the state is not asked before a stop closes a connection",
        SERVER_CONNECTION,
        "if self._state is _State.RESTING and not self._source.bytes_waiting:",
        "if not self._source.bytes_waiting:",
        SHORT_EXPLORATION,
    ),
    BrokenBuild(
        "the timer of a head is not stopped as its request is taken",
        SERVER_CONNECTION,
        "                self._timer.cancel()\n"
        "                self._head_since = None\n",
        "                self._head_since = None\n",
        SHORT_EXPLORATION,
        also=(REQUEST_BODIES, END_OF_BODY, END_OF_BODY_IN_USE),
    ),
    BrokenBuild(
        "a cancellation counts as an end with a response",
        EXCHANGE,
        "            await self._conclude_aborted(runs)\n            return\n",
        "            return\n",
        SHORT_EXPLORATION,
    ),
    BrokenBuild(
        "an endpoint's error counts as the loss of the client",
        ENDPOINT_RUN,
        "        except errors.EndpointError as error:\n",
        "        except errors.EndpointError as error:\n"
        '            raise errors.ClientLostError("lost") from error\n',
        SHORT_EXPLORATION,
    ),
    BrokenBuild(
        "no last response is sent as a connection is closed",
        CONNECTION_RECORD,
        "was_told = not started and self._stream.send_last(",
        "was_told = False and self._stream.send_last(",
        SHORT_EXPLORATION,
    ),
    BrokenBuild(
        "a request ends once more as its connection is closed",
        CONNECTION_RECORD,
        "        if entry.end is not None:\n            return\n",
        "",
        SHORT_EXPLORATION,
    ),
    BrokenBuild(
        "the idle time goes on while a connection is in use",
        SERVER_CONNECTION,
        "                self._timer.cancel()\n"
        "                self._head_since = None\n",
        "                self._timer.set(0.0, close_reports.CloseReason.IDLE)\n"
        "                self._head_since = None\n",
        SHORT_EXPLORATION,
        also=(REQUEST_BODIES, END_OF_BODY, END_OF_BODY_IN_USE),
    ),
    BrokenBuild(
        "a pipelined request is dropped",
        SERVER_CONNECTION,
        "        self._input.parser.start_next_cycle()\n",
        "        self._input.parser = h11.Connection(h11.SERVER)\n",
        SHORT_EXPLORATION,
    ),
    BrokenBuild(
        "a rest ends before the time that the client was told",
        RESTING,
        "return allowed_s - self.rested_s",
        "return allowed_s - self.rested_s - 1.5",
        SHORT_EXPLORATION,
    ),
    BrokenBuild(
        "a shorter idle time holds at once",
        RESTING,
        "max(self._time.held_s, self._limits().idle_timeout_s)",
        "self._limits().idle_timeout_s",
        EXPLORED_RESTS,
    ),
    BrokenBuild(
        "a request that may have run is said not to have run",
        EXCHANGE,
        "            await runs.deliver(runs.fallback)\n"
        "        elif self._state.progress.outcome is outcomes.Outcome.NOT_RUN:"
        "\n            await self._refuse(503, self._state.failure",
        "            await runs.deliver(runs.fallback)\n"
        "        elif True:"
        "\n            await self._refuse(503, self._state.failure",
        SHORT_EXPLORATION,
    ),
    BrokenBuild(
        "a deadline does not end its request",
        EXCHANGE,
        "max(0.0, time_left_s), self.stop",
        "60.0 + time_left_s, self.stop",
        SHORT_EXPLORATION,
    ),
    BrokenBuild(
        "a deadline does not look at an answer that waits",
        EXCHANGE,
        "if ending is Ending.CLIENT_LEFT or not grace_s:",
        "if True:",
        SHORT_EXPLORATION,
    ),
    BrokenBuild(
        "a move does not ask for bytes that wait",
        ATTEMPTS,
        "if not tickets or self._runs.readable or",
        "if not tickets or",
        EXPLORED_CHECKS,
    ),
    BrokenBuild(
        "the end behind unread bytes is not looked for",
        STREAMS,
        "            self._end_look.start(self._on_closed)\n",
        "            pass\n",
        EXPLORED_UNREAD,
    ),
)
