"""Batches of messages between boxes, and differences of documents."""

import dataclasses
import enum
import random
import types
import typing
from typing import Any
import zlib

import cbor2
import msgspec

from martenjunction import errors
from martenjunction.cells import messages as cell_messages
from martenjunction.claims import messages as claim_messages
from martenjunction.duties import messages as duty_messages
from martenjunction.peers import codec
from martenjunction.peers import document_delta
from martenjunction.peers import messages as link_messages
from martenjunction.routing.fleet import box_state_sync
from martenjunction.routing.messages import load_messages
from martenjunction.routing.messages import peer_messages
from martenjunction.routing.messages import suspect_messages
from martenjunction.routing.streams import messages as stream_messages
from martenjunction.routing.sync import outcome_report
from martenjunction_lab.fuzz import cbor_spans
from martenjunction_lab.fuzz import odd_values
from martenjunction_lab.fuzz import spans
from martenjunction_lab.fuzz import targets
from martenjunction_lab.fuzz.families import documents

# Importing these registers the types of messages.
MESSAGE_MODULES = (
    cell_messages,
    claim_messages,
    duty_messages,
    link_messages,
    box_state_sync,
    load_messages,
    peer_messages,
    suspect_messages,
    stream_messages,
    outcome_report,
)

_PLAIN_VALUES: dict[Any, Any] = {
    int: 7,
    str: "e-1",
    bytes: b"12345678",
    bool: True,
    float: 0.5,
    Any: "any",
}


def sample(kind: Any) -> Any:
    """Returns a sound value of a type, for a message's field."""
    origin, arguments = typing.get_origin(kind), typing.get_args(kind)
    if kind in _PLAIN_VALUES:
        return _PLAIN_VALUES[kind]
    if origin in (types.UnionType, typing.Union, typing.Annotated):
        return sample(arguments[0])
    if origin is typing.Literal:
        return arguments[0]
    if origin is tuple:
        if arguments[-1] is Ellipsis:
            return (sample(arguments[0]),) * 2
        return tuple(map(sample, arguments))
    if origin is list:
        return [sample(arguments[0])]
    if origin in (set, frozenset):
        return origin((sample(arguments[0]),))
    if origin is dict:
        return {sample(arguments[0]): sample(arguments[1])}
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return next(iter(kind))
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        fields = [f.name for f in msgspec.structs.fields(kind)]
    else:
        fields = [f.name for f in dataclasses.fields(kind)]
    hints = typing.get_type_hints(kind)
    return kind(**{name: sample(hints[name]) for name in fields})


def _batches() -> list[spans.Document]:
    """Returns a sound batch for each message type, and one of all."""
    messages = [
        sample(codec.message_types.get(tag)) for tag in codec.message_types
    ]
    batches = [[message, messages[0]] for message in messages]
    return [
        cbor_spans.of_encoded(codec.encode_batch(batch))
        for batch in (*batches, messages)
    ]


@targets.registered.register("peer-batches")
class PeerBatches(targets.Target):
    """Batches of messages of peers."""

    declared = (errors.PeerError,)
    _sound = _batches()

    def generate(self, rng: random.Random) -> bytes:
        """Returns a batch."""
        return spans.mutate(rng, rng.choice(self._sound))

    def check(self, data: bytes) -> None:
        """Decodes a batch; its encoding decodes to the same encoding."""
        decoded = codec.decode_batch(data)
        encoded = codec.encode_batch(decoded)
        if codec.encode_batch(codec.decode_batch(encoded)) != encoded:
            raise targets.OracleError("a batch changes when it is encoded")


def _encoded_messages() -> list[bytes]:
    """Returns a sound message of each type, encoded."""
    return [
        codec.Encoded(sample(codec.message_types.get(tag))).data
        for tag in codec.message_types
    ]


@targets.registered.register("peer-messages")
class PeerMessages(targets.Target):
    """Messages of peers, in a batch between sound ones."""

    declared = (errors.PeerError,)
    _messages = _encoded_messages()
    _sound = tuple(map(cbor_spans.of_encoded, _messages))

    def generate(self, rng: random.Random) -> bytes:
        """Returns a message."""
        return spans.mutate(rng, rng.choice(self._sound))

    def check(self, data: bytes) -> None:
        """Decodes the message between others, which stay as they are."""
        place = len(data) % len(self._messages)
        before = self._messages[place]
        after = self._messages[place - 1]
        odd: list[str] = []
        try:
            decoded = codec.decode_batch(
                b"\x83" + before + data + after,
                lambda kind, _: odd.append(kind),
            )
        except errors.PeerError:
            if cbor_spans.is_one_item(data):
                raise targets.OracleError(
                    "a message spoils its batch"
                ) from None
            raise
        if not cbor_spans.is_one_item(data):
            return
        encoded = [codec.Encoded(message).data for message in decoded]
        if encoded[:1] != [before] or encoded[-1:] != [after]:
            raise targets.OracleError("a message spoils its neighbours")
        if len(encoded) != 3 and (len(encoded), len(odd)) != (2, 1):
            raise targets.OracleError("a message is lost and not counted")


def _json(value: Any) -> bytes:
    return spans.json_document(value, (), ()).data


_BASE = _json(documents.CONFIGURATION)
_TARGET = _json({**documents.CONFIGURATION, "version": 8, "routes": []})


@targets.registered.register("document-deltas")
class DocumentDeltas(targets.Target):
    """Differences of configurations."""

    declared = (errors.PeerError,)
    _sound = cbor_spans.of_encoded(
        zlib.decompress(document_delta.encode(_BASE, _TARGET))
    )

    def generate(self, rng: random.Random) -> bytes:
        """Returns a difference."""
        if rng.random() < 0.05:
            # Runs that repeat the base as often as the size allows.
            runs = [[0, rng.randint(1, 30)]] * rng.choice((1, 100, 5000))
            return zlib.compress(cbor2.dumps(runs), 1)
        packed = zlib.compress(spans.mutate(rng, self._sound), 1)
        return spans.damage(rng, packed) if rng.random() < 0.2 else packed

    def check(self, data: bytes) -> None:
        """Applies a difference; one to the result gives it again."""
        result = document_delta.apply(_BASE, data)
        if len(result) > document_delta.MAX_BYTES:
            raise targets.OracleError("the document is too large")
        if len(result) > len(_BASE) * 2:
            return
        again = document_delta.apply(
            _BASE, document_delta.encode(_BASE, result)
        )
        if again != result:
            raise targets.OracleError("a difference gives another document")


@targets.registered.register("delta-documents")
class DeltaDocuments(targets.Target):
    """Documents between which differences are encoded."""

    _sound = spans.json_document(
        documents.CONFIGURATION, odd_values.JSON, odd_values.LARGE_JSON
    )

    def generate(self, rng: random.Random) -> bytes:
        """Returns a document."""
        return spans.mutate(rng, self._sound)

    def check(self, data: bytes) -> None:
        """Encodes a difference to a document, and applies it."""
        for base, document in ((_BASE, data), (data, _BASE), (b"", data)):
            delta = document_delta.encode(base, document)
            if document_delta.apply(base, delta) != document:
                raise targets.OracleError("a difference loses something")
