"""Inputs that once showed a fault, kept as files."""

from collections.abc import Iterator
import hashlib
import pathlib

from martenjunction_lab.fuzz import targets

FOLDER = pathlib.Path(__file__).parent / "corpus"


def read(folder: pathlib.Path = FOLDER) -> Iterator[tuple[str, str, bytes]]:
    """Yields the target, the name and the bytes of each input.

    Args:
        folder: Has a folder of files for each target.
    """
    for name in targets.registered:
        for path in sorted((folder / name).glob("*.bin")):
            yield name, path.stem, path.read_bytes()


def add(name: str, data: bytes, folder: pathlib.Path) -> pathlib.Path:
    """Writes an input to the folder of its target; returns its path."""
    digest = hashlib.sha256(data).hexdigest()[:12]
    path = folder / name / f"{digest}.bin"
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(data)
    return path
