"""Keys of streams, which are equal on all boxes of a fleet."""

import xxhash

from martenjunction.decisions.boxes import stream_table


class StreamKeys:
    """Computes stream keys."""

    def __init__(self, fleet_key: str) -> None:
        """Initializes the hash seed.

        Args:
            fleet_key: A secret shared by all boxes of a fleet.
        """
        self._seed = xxhash.xxh3_64_intdigest(fleet_key.encode())

    def key(self, api_key: str | None, request: str) -> stream_table.StreamKey:
        """Returns the key of a stream.

        Args:
            api_key: The API key of the caller, or None.
            request: Id of the request that brought the first event.
        """
        caller = (api_key or "").encode("latin-1")
        return stream_table.StreamKey(
            xxhash.xxh3_64_digest(caller, seed=self._seed),
            xxhash.xxh3_128_digest(request.encode("latin-1"), seed=self._seed),
        )
