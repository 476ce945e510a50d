"""Answers of the store: lists, watches and single objects."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
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


class _Calls:
    """Gives each call of the store's client the same answer."""

    def __init__(self, body: bytes) -> None:
        self._body = body

    async def call(
        self, *_: Any
    ) -> tuple[messages.ResponseHead, bytes, "_Calls"]:
        """Returns the head, the body and the connection."""
        head = messages.ResponseHead(200, [(b"store-era", b"1")])
        return head, self._body, self

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
        data: bytes,
        call: Callable[[store.StoreClient], Coroutine[Any, Any, Any]],
    ) -> Any:
        """Returns what a call returns for an answer."""
        client = store.StoreClient("10.0.0.1:80")
        client._http = _Calls(data)  # type: ignore[assignment]
        return self._loop.run_until_complete(call(client))


def _json(value: Any) -> spans.Document:
    return spans.json_document(value, odd_values.JSON, odd_values.LARGE_JSON)


@targets.registered.register("store-lists")
class StoreLists(_StoreTarget):
    """Pages of a list."""

    _sound = _json(_page(documents.ENDPOINT))

    def generate(self, rng: random.Random) -> bytes:
        """Returns a page that is the last one."""
        return spans.mutate(rng, self._sound)

    def check(self, data: bytes) -> None:
        """Reads a list."""
        self.answer(data, lambda client: client.list(KIND))


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
        """Reads changes."""
        self.answer(data, lambda client: client.watch(KIND, _REVISION, 1.0))


@targets.registered.register("store-objects")
class StoreObjects(_StoreTarget):
    """Single objects."""

    _sound = _json(_stored("e-1", 6, documents.ENDPOINT))

    def generate(self, rng: random.Random) -> bytes:
        """Returns an object."""
        return spans.mutate(rng, self._sound)

    def check(self, data: bytes) -> None:
        """Reads an object."""
        self.answer(data, lambda client: client.get(KIND, "e-1"))


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
            listing = self.answer(page, lambda client: client.list(KIND))
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
    return b'{"extra":' + content + b"," + _json(documents.ENDPOINT).data[1:]


_CONTENTS = (_nested, _text, _number, _member)
