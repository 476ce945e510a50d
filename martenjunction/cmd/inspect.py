"""`martenjunction dump` and `drain`: calls to a single daemon."""

import dataclasses
import json
from typing import Annotated

import cappa

from martenjunction.cmd import remote
from martenjunction.endpoints import client

NoAnswerError = remote.NoAnswerError


@cappa.command(
    help="Print a daemon's state: martenjunction dump 127.0.0.1:9080"
)
@dataclasses.dataclass
class Dump:
    """Prints the state of every part of a daemon as JSON."""

    address: Annotated[str, cappa.Arg(help="The operators' address.")]
    operator_key: remote.OperatorKey
    part: Annotated[
        str, cappa.Arg(long=True, help="Only this part, such as cells.")
    ] = ""

    def __call__(self, output: cappa.Output) -> None:
        """Prints the state."""

        async def send_request(
            http: client.EndpointClient,
        ) -> remote.DaemonResponse:
            return await remote.call_daemon(
                http, self.address, self.operator_key, "GET", "/operator/dump"
            )

        state = remote.run_with_http(send_request).json()
        if self.part:
            state = state.get(self.part, {})
        output.output(json.dumps(state, indent=2))


@cappa.command(
    help="Stop a daemon as planned: martenjunction drain 127.0.0.1:9080"
)
@dataclasses.dataclass
class Drain:
    """Begins a planned stop of a daemon."""

    address: Annotated[str, cappa.Arg(help="The operators' address.")]
    operator_key: remote.OperatorKey

    def __call__(self, output: cappa.Output) -> None:
        """Starts the stop; the daemon exits when no request is in flight."""

        async def send_request(
            http: client.EndpointClient,
        ) -> remote.DaemonResponse:
            return await remote.call_daemon(
                http,
                self.address,
                self.operator_key,
                "POST",
                "/operator/drain",
            )

        remote.run_with_http(send_request)
        output.output(f"{self.address} is being stopped")
