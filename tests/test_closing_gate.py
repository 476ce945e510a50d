"""Every close of a client's connection goes through one place.

Guards against code that closes a connection under a request without a response.
"""

import ast
import pathlib

import pytest

PACKAGE = pathlib.Path(__file__).parent.parent / "martenjunction"

# Modules through which clients' connections are served.
MODULES = [
    *sorted((PACKAGE / "http1").glob("*.py")),
    *sorted((PACKAGE / "callers").glob("*.py")),
    *sorted((PACKAGE / "routing" / "requests").glob("*.py")),
    PACKAGE / "caller_records.py",
    PACKAGE / "closing_streams.py",
    PACKAGE / "fair_streams.py",
    PACKAGE / "http_server.py",
    PACKAGE / "gateway.py",
    PACKAGE / "listeners.py",
]

# Methods that end a connection, a stream or a socket.
ENDING = frozenset(
    {"abort", "close", "close_all", "close_fd", "detach", "shutdown"}
)

# What may call one of them, by module and function: on connections of clients,
# through `ServerConnection.abort` or a stream that tells before it closes.
CLIENTS = {
    ("http1.server", "Server.close_all"): {"connection.abort"},
    ("http1.server", "Server._run_connection"): {"connection.abort"},
    ("http1.server_connection", "ServerConnection.abort"): {
        "self._source.abort"
    },
    ("http1.server_connection", "ServerConnection.end_rest"): {"self.abort"},
    ("http1.server_connection", "ServerConnection.end_slow_head"): {
        "self.abort"
    },
    ("http1.server_connection", "ServerConnection.end_drop"): {"self.abort"},
    ("http1.server_connection", "ServerConnection._on_timeout"): {"self.abort"},
    ("http1.server_connection", "ServerConnection._close_if_idle"): {
        "self.abort"
    },
    ("http1.streams", "ByteSource.abort"): {"self._stream.close"},
    ("http1.watched_streams", "WatchedStream.close_fd"): {"super().close_fd"},
    ("http1.watched_streams", "WatchedStream._look_at_peer"): {"self.close"},
    ("closing_streams", "ClosingStream.close_fd"): {"super().close_fd"},
    ("routing.requests.exchange", "Exchange._conclude"): {
        "self._connection.abort"
    },
    ("routing.requests.exchange", "Exchange._fail"): {"self._connection.abort"},
    ("routing.requests.exchange", "Exchange._conclude_aborted"): {
        "self._connection.abort"
    },
    ("listeners", "Listeners.abort"): {"server.abort"},
    ("callers.handlers", "CallerHandler.abort_response"): {"http_server.abort"},
    ("http_server", "Server.abort"): {"connection.abort"},
    ("http_server", "Server.finish"): {"connection.close"},
    ("http_server", "_Connection.close"): {"self._stream.close"},
    ("http_server", "_Connection.abort"): {"self._stream.close"},
    ("http_server", "_Connection._on_peer_end"): {"self._stream.close"},
    ("http_server", "_Connection._on_timeout"): {"self.close"},
    ("http_server", "_Connection._reject"): {"self.abort"},
    ("http_server", "abort"): {"stream.close"},
}

# The same on something else: a connection that nothing was read from, the end
# of a last response, connections to endpoints, permits. The stop of a box is
# here for what else it closes.
OTHERS = {
    ("gateway", "Gateway.stop"): {
        "listening.close_all",
        "self.pool.close",
        "self.tunnels.close_all",
    },
    ("http1.client", "ClientConnection.abort"): {
        "self._source.abort",
        "self._stream.close",
    },
    ("http1.client", "ClientConnection.finish"): {"self.abort"},
    ("http1.client", "ClientConnection.open"): {"self.abort"},
    ("http1.client", "ClientConnection.reset"): {"self.abort"},
    ("http1.discarding", "Drop.__init__"): {"stream.socket.shutdown"},
    ("http1.server", "Server.handle_stream"): {"stream.close"},
    ("routing.requests.endpoint_run", "EndpointRun._receive"): {"run.abort"},
    ("routing.requests.endpoint_run", "EndpointRun.abort"): {"self._run.abort"},
    ("routing.requests.endpoint_run", "EndpointRun.close"): {
        "self._answers.close"
    },
    ("routing.requests.endpoint_run", "EndpointRun.give_up"): {
        "self._run.abort"
    },
    ("routing.requests.endpoint_run", "EndpointRun.run"): {
        "run.abort",
        "self._offer.permit.close",
    },
    ("routing.requests.endpoint_runs", "EndpointRuns.abort_lost"): {
        "run.abort"
    },
    ("routing.requests.endpoint_runs", "EndpointRuns.close"): {"run.close"},
    ("routing.requests.endpoint_runs", "EndpointRuns.run"): {
        "offer.permit.close"
    },
    ("routing.requests.exchange", "Exchange.run"): {"self._runs.close"},
    ("routing.requests.offers", "Offers.give_back"): {"offer.permit.close"},
    ("routing.requests.offers", "Offers.next"): {"permit.close"},
    ("routing.requests.run_reports", "RunReports._close"): {"connection.abort"},
    ("routing.requests.run_reports", "RunReports._read_report"): {
        "connection.abort"
    },
}


def ending_calls(source: str) -> set[tuple[str, str]]:
    """Returns functions that call what ends a connection, with the call."""
    found: set[tuple[str, str]] = set()

    def visit(node: ast.AST, scope: str) -> None:
        for child in ast.iter_child_nodes(node):
            name = getattr(child, "name", "")
            if isinstance(
                child, ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef
            ):
                visit(child, f"{scope}.{name}".lstrip("."))
                continue
            if (
                isinstance(child, ast.Call)
                and isinstance(child.func, ast.Attribute)
                and child.func.attr in ENDING
            ):
                found.add((scope, ast.unparse(child.func)))
            visit(child, scope)

    visit(ast.parse(source), "")
    return found


def module_name(path: pathlib.Path) -> str:
    return ".".join(path.relative_to(PACKAGE).with_suffix("").parts)


def test_only_known_places_close_a_connection() -> None:
    found: dict[tuple[str, str], set[str]] = {}
    for path in MODULES:
        for function, call in ending_calls(path.read_text(encoding="utf-8")):
            key = module_name(path), function
            found.setdefault(key, set()).add(call)
    assert found == {**CLIENTS, **OTHERS}


@pytest.mark.parametrize(
    "source",
    [
        "def end(c):\n    c.abort(REASON)",
        "class A:\n    def end(self):\n        self._stream.close()",
        "async def end(s):\n    if s:\n        s.socket.shutdown(1)",
        "end = lambda s: s.close()",
    ],
)
def test_close_elsewhere_is_found(source: str) -> None:
    assert ending_calls(source)
