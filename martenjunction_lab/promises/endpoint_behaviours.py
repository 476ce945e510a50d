"""Behaviours of endpoints."""

import asyncio
from collections.abc import AsyncIterator

import msgspec

from martenjunction.platform import documents
from martenjunction_lab import replica
from martenjunction_lab.promises import behaviours
from martenjunction_lab.promises import fleet

Part = behaviours.Part

# Seconds for which a process that restarts is away.
RESTART_S = 0.3

# An entry that decoders refuse: no number has such an exponent.
ODD_ENTRY = (
    b'{"service":"plain-service","address":"10.0.0.1:80","zone":"zone-a",'
    b'"version":"v1","slots":1e400,"state":"ready","cold_left_ms":0,"seq":4}'
)

# Kinds of which a share of the requests that reach an endpoint meets a
# behaviour of its stand-in, and the smallest and largest share.
SHARED = {
    "endpoint-resets": (replica.Behaviour.RESET, (0.2, 1.0)),
    "endpoint-answers-half": (replica.Behaviour.HALF, (0.2, 1.0)),
    "endpoint-answers-twice": (replica.Behaviour.TWICE, (0.2, 1.0)),
    "endpoint-foreign-first": (replica.Behaviour.FOREIGN_FIRST, (0.2, 1.0)),
    "endpoint-refuses": (replica.Behaviour.REFUSE, (0.2, 1.0)),
    "endpoint-misdirected": (replica.Behaviour.MISDIRECTED, (0.2, 1.0)),
    "endpoint-fails-some": (replica.Behaviour.FAIL, (0.1, 0.6)),
    "endpoint-bare-503": (replica.Behaviour.BARE_503, (0.2, 1.0)),
    "endpoint-hangs": (replica.Behaviour.HANG, (0.2, 1.0)),
}


def _register_shared(
    name: str, met: replica.Behaviour, share: tuple[float, float]
) -> None:
    @behaviours.applies(name, Part.ENDPOINT, share=share)
    async def apply(
        played: fleet.PairFleet, behaviour: behaviours.Behaviour
    ) -> AsyncIterator[None]:
        shares = played.endpoint(behaviour.on).shares
        shares[met] = behaviour.share
        yield
        # Another behaviour of the kind may have ended it.
        shares.pop(met, None)


for _name, (_met, _share) in SHARED.items():
    _register_shared(_name, _met, _share)


@behaviours.applies("endpoint-silent", Part.ENDPOINT, for_s=(0.5, 2.5))
async def _silent(
    played: fleet.PairFleet, behaviour: behaviours.Behaviour
) -> AsyncIterator[None]:
    one = played.endpoint(behaviour.on)
    one.always(replica.Behaviour.HANG)
    yield
    one.always(replica.Behaviour.SERVE)


@behaviours.applies("endpoint-ends", Part.ENDPOINT)
async def _ends(
    played: fleet.PairFleet, behaviour: behaviours.Behaviour
) -> AsyncIterator[None]:
    one = played.endpoint(behaviour.on)
    await played.end_endpoint(one)
    yield
    await played.return_endpoint(one)


@behaviours.applies(
    "endpoint-restarts", Part.ENDPOINT, for_s=(RESTART_S, RESTART_S)
)
async def _restarts(
    played: fleet.PairFleet, behaviour: behaviours.Behaviour
) -> AsyncIterator[None]:
    one = played.endpoint(behaviour.on)
    await played.end_endpoint(one)
    yield
    await played.return_endpoint(one)


@behaviours.applies("endpoint-drains", Part.ENDPOINT, for_s=(2.0, 3.0))
async def _drains(
    played: fleet.PairFleet, behaviour: behaviours.Behaviour
) -> AsyncIterator[None]:
    one = played.endpoint(behaviour.on)
    name = one.name
    played.announce_leaving(one)
    yield
    if one.name != name:
        return  # It has started again meanwhile.
    await played.end_endpoint(one)
    await asyncio.sleep(RESTART_S)
    await played.return_endpoint(one)


@behaviours.applies("endpoint-odd-entry", Part.ENDPOINT)
async def _odd_entry(
    played: fleet.PairFleet, behaviour: behaviours.Behaviour
) -> AsyncIterator[None]:
    one = played.endpoint(behaviour.on)
    played.boxes.store.write(
        documents.ENDPOINT_KIND, one.id, msgspec.Raw(ODD_ENTRY)
    )
    yield
    played.write_entry(one)
