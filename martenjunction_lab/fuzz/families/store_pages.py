"""Answers of the store: lists, watches and single objects."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterable
from collections.abc import Sequence
import json
import random
from typing import Any

from martenjunction import errors
from martenjunction import revisions
from martenjunction.http1 import messages
from martenjunction.platform import store
from martenjunction_lab.fuzz import odd_values
from martenjunction_lab.fuzz import spans
from martenjunction_lab.fuzz import targets
from martenjunction_lab.fuzz.families import documents

KIND = "servers"
_REVISION = revisions.Revision(1, 5)

# Bounds of the numbers that the store counts with.
_MAX_REVISION = 2**63 - 1
_MAX_ERA = 10**18 - 1


class _Calls:
    """Gives the calls of the store's client their answers.

    The last answer is given to all calls that follow.
    """

    def __init__(self, bodies: Sequence[bytes], era: bytes) -> None:
        self._bodies = list(reversed(bodies))
        self._era = era

    async def call(
        self, *_: Any
    ) -> tuple[messages.ResponseHead, bytes, "_Calls"]:
        """Returns the head, the body and the connection."""
        head = messages.ResponseHead(200, [(b"store-era", self._era)])
        bodies = self._bodies
        body = bodies.pop() if len(bodies) > 1 else bodies[0]
        return head, body, self

    def release(self, connection: "_Calls") -> None:
        """Does nothing."""

    def abort(self) -> None:
        """Does nothing."""


def _stored(name: str, revision: int, spec: Any) -> dict[str, Any]:
    return {
        "metadata": {
            "name": name,
            "revision": revision,
            "deletion_pending": False,
        },
        "spec": spec,
        "status": None,
    }


def _page(spec: Any) -> dict[str, Any]:
    return {
        "current_rev": 9,
        "entries": [
            _stored("e-1", 4, documents.ENDPOINT),
            _stored("e-2", 5, spec),
            _stored("e-3", 6, documents.ENDPOINT),
        ],
        "has_more": False,
    }


class _StoreTarget(targets.Target):
    """Hands inputs to the store's client as answers."""

    declared = (errors.PlatformError,)

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()

    def __del__(self) -> None:
        self._loop.close()

    def answer(
        self,
        call: Callable[[store.StoreClient], Coroutine[Any, Any, Any]],
        *bodies: bytes,
        era: bytes = b"1",
    ) -> Any:
        """Returns what a call returns for answers.

        Args:
            call: Makes the call, which may take several answers.
            bodies: The answers; the last one counts for all that follow.
            era: The era that each of them tells.
        """
        client = store.StoreClient("10.0.0.1:80")
        client._http = _Calls(bodies, era)  # type: ignore[assignment]
        return self._loop.run_until_complete(call(client))


def _check_revisions(
    found: revisions.Revision | None, objects: Iterable[store.StoredObject]
) -> None:
    """Checks the revision of an answer, if it has one, and of its objects.

    Raises:
        OracleError: If one of them is out of range.
    """
    numbers = [stored.revision.number for stored in objects]
    if found is not None:
        numbers.append(found.number)
    if not all(0 <= number <= _MAX_REVISION for number in numbers):
        raise targets.OracleError("a revision is out of range")


def _json(value: Any) -> spans.Document:
    return spans.json_document(value, odd_values.JSON, odd_values.LARGE_JSON)


@targets.registered.register("store-lists")
class StoreLists(_StoreTarget):
    """Pages of a list; a sound one follows that is the last."""

    _sound = _json(_page(documents.ENDPOINT))

    def generate(self, rng: random.Random) -> bytes:
        """Returns the first page, most often the only one."""
        return spans.mutate(rng, self._sound)

    def check(self, data: bytes) -> None:
        """Reads a list; its revisions are in range."""
        listing = self.answer(
            lambda client: client.list(KIND), data, self._sound.data
        )
        _check_revisions(listing.revision, listing.objects)


@targets.registered.register("store-watches")
class StoreWatches(_StoreTarget):
    """Answers of watches."""

    _sound = _json(
        {
            "current_rev": 9,
            "events": [
                {
                    "object": _stored("e-1", 6, documents.ENDPOINT),
                    "deleted": False,
                },
                {"object": _stored("e-2", 7, None), "deleted": True},
            ],
        }
    )

    def generate(self, rng: random.Random) -> bytes:
        """Returns an answer."""
        return spans.mutate(rng, self._sound)

    def check(self, data: bytes) -> None:
        """Reads changes; their revisions are in range."""
        found = self.answer(
            lambda client: client.watch(KIND, _REVISION, 1.0), data
        )
        _check_revisions(
            found.revision, [change.object for change in found.changes]
        )


@targets.registered.register("store-objects")
class StoreObjects(_StoreTarget):
    """Single objects."""

    _sound = _json(_stored("e-1", 6, documents.ENDPOINT))

    def generate(self, rng: random.Random) -> bytes:
        """Returns an object."""
        return spans.mutate(rng, self._sound)

    def check(self, data: bytes) -> None:
        """Reads an object; its revision is in range."""
        found = self.answer(lambda client: client.get(KIND, "e-1"), data)
        _check_revisions(None, [found])


@targets.registered.register("store-eras")
class StoreEras(_StoreTarget):
    """Eras in the heads of answers."""

    _body = _json(_stored("e-1", 6, None)).data

    def generate(self, rng: random.Random) -> bytes:
        """Returns an era."""
        return b"".join(rng.choices(_ERA_PARTS, k=rng.randint(0, 3)))

    def check(self, data: bytes) -> None:
        """Reads an object; its era is in range."""
        found = self.answer(
            lambda client: client.get(KIND, "e-1"), self._body, era=data
        )
        if not 0 <= found.revision.era <= _MAX_ERA:
            raise targets.OracleError("an era is out of range")


_ERA_PARTS = (
    b"0",
    b"1",
    b"-1",
    b"+1",
    b"1_0",
    b"1.0",
    b"1e3",
    b" ",
    b"9" * 18,
    b"9" * 19,
    b"9" * 400,
    b"9" * 5000,
    b"\xb2",
    "\u0663".encode(),
    b"x",
)


@targets.registered.register("store-contents")
class StoreContents(_StoreTarget):
    """One object's content, in a page with sound ones beside it.

    The content is JSON by its grammar, as a store keeps it.
    """

    _before, _after = _json(_page("@")).data.split(b'"@"')

    def generate(self, rng: random.Random) -> bytes:
        """Returns a content."""
        return rng.choice(_CONTENTS)(rng)

    def check(self, data: bytes) -> None:
        """Reads a list; the other objects are in it."""
        page = self._before + data + self._after
        try:
            listing = self.answer(lambda client: client.list(KIND), page)
        except errors.PlatformError as error:
            if not _is_json(data):
                raise
            raise targets.OracleError(
                "an object's content fails its page"
            ) from error
        names = {stored.name for stored in listing.objects}
        if not names >= {"e-1", "e-3"}:
            raise targets.OracleError("an object's content hides others")


def _is_json(data: bytes) -> bool:
    """Returns whether a content has the grammar of JSON, or nests deeply."""
    try:
        json.loads(data, parse_int=str, parse_float=str)
    except RecursionError:
        return True
    except ValueError:
        return False
    return True


def _nested(rng: random.Random) -> bytes:
    depth = rng.choice((10, 100, 600, 2000, 3000))
    if rng.random() < 0.5:
        return b"[" * depth + b"]" * depth
    return b'{"a":' * depth + b"1" + b"}" * depth


def _text(rng: random.Random) -> bytes:
    parts = (b"\\ud800", b"\\udc00\\ud800", b"\\u0000", b"a", b"\\n", b"]}")
    return b'"' + b"".join(rng.choices(parts, k=rng.randint(0, 6))) + b'"'


def _number(rng: random.Random) -> bytes:
    digits = str(rng.randint(1, 9)).encode() * rng.choice((1, 20, 400, 5000))
    exponent = rng.choice((b"", b"e5", b"e400", b"e-400", b".25"))
    return rng.choice((b"", b"-")) + digits + exponent


def _member(rng: random.Random) -> bytes:
    """Returns a sound entry with one more member."""
    content = rng.choice((_nested, _text, _number))(rng)
    return b'{"extra":' + content + b"," + _SOUND_MEMBERS


_SOUND_MEMBERS = _json(documents.ENDPOINT).data[1:]
_CONTENTS = (_nested, _text, _number, _member)
