"""Requests beside connections that fall silent for good, without a reset.

Connections to endpoints, and of some clients, stop to pass bytes on while new
ones work, and boxes are suspended for 60 to 150 ms at a time. A request on a
sound connection of its client ends with a whole answer, or visibly broken off
after its head, by its deadline; what may run once does; and a connection that
is silent carries no second request.
"""

import pathlib

import pytest

from tests import silent_connections


@pytest.mark.parametrize(
    ("seed", "held_up"), [(1, True), (2, True), (3, False)]
)
async def test_silent_connections_leave_no_request_without_an_end(
    tmp_path: pathlib.Path, seed: int, held_up: bool
) -> None:
    found = await silent_connections.Play(seed, tmp_path).run(held_up)
    assert found.tally.answered
    assert found.caught, "no connection fell silent under a request"
    assert not found.tally.lost and not found.tally.untaken, str(found.tally)
    assert not found.tally.false_promises, str(found.tally)
    assert not found.doubled_unsafe
    assert not found.late
    assert not found.reused
    assert not found.unaccounted, str(found.ledger)


async def test_repeatable_requests_leave_silent_connections(
    tmp_path: pathlib.Path,
) -> None:
    # Their endpoints answer others meanwhile; 102 of 137 got 504 at their
    # deadline, or 502.
    found = await silent_connections.Play(4, tmp_path).run(held_up=True)
    assert found.caught_repeatable
    assert len(found.unmoved) <= len(found.caught_repeatable) // 4, (
        f"{len(found.unmoved)} of {len(found.caught_repeatable)}"
    )
