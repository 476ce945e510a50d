"""Records of streams in the store."""

import random

import msgspec

from martenjunction import errors
from martenjunction.decisions.boxes import origin_archive
from martenjunction.decisions.boxes import settled_services
from martenjunction.decisions.boxes import stream_table
from martenjunction.platform import stream_documents
from martenjunction_lab.fuzz import odd_values
from martenjunction_lab.fuzz import spans
from martenjunction_lab.fuzz import targets

_RECORDS = [
    origin_archive.ArchivedRecord(
        stream_table.StreamKey(b"c" * 8, bytes([number]) * 16),
        stream_table.StreamOrigin("chat", "v1") if number else None,
        1000 * number,
    )
    for number in range(3)
]


class _Indexes(msgspec.Struct):
    """The callers of records, of all that their object holds."""

    caller_of: list[int]


@targets.registered.register("stream-records")
class StreamRecords(targets.Target):
    """Origins of the streams of one box."""

    declared = (errors.PlatformError,)
    _sound = spans.json_document(
        stream_documents.encode_records(_RECORDS),
        (*odd_values.JSON, b'"QUJD"', b'"QQ=="', b'"="', b"[-2]", b"[9,9,9]"),
        odd_values.LARGE_JSON,
    )

    def generate(self, rng: random.Random) -> bytes:
        """Returns a box's object."""
        return spans.mutate(rng, self._sound)

    def check(self, data: bytes) -> None:
        """Decodes records; they are the same after they were encoded again."""
        records = stream_documents.decode_records(data)
        indexes = msgspec.json.decode(data, type=_Indexes).caller_of
        if min(indexes, default=0) < 0:
            raise targets.OracleError("a negative index is taken")
        again = msgspec.json.encode(stream_documents.encode_records(records))
        if stream_documents.decode_records(again) != records:
            raise targets.OracleError("records change when they are encoded")


@targets.registered.register("settled-services")
class SettledServices(targets.Target):
    """The services that have a single version."""

    declared = (errors.PlatformError,)
    _sound = spans.json_document(
        stream_documents.encode_settled(
            settled_services.Settled(7, {"chat": "v1", "digest": "v2"}), 3, 1
        ),
        odd_values.JSON,
        odd_values.LARGE_JSON,
    )

    def generate(self, rng: random.Random) -> bytes:
        """Returns the object."""
        return spans.mutate(rng, self._sound)

    def check(self, data: bytes) -> None:
        """Decodes the object; it is the same after it was encoded again."""
        found = stream_documents.decode_settled(data)
        again = msgspec.json.encode(stream_documents.encode_settled(*found))
        if stream_documents.decode_settled(again) != found:
            raise targets.OracleError("services change when they are encoded")
