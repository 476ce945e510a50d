"""Settings files of boxes."""

import dataclasses
import math
import pathlib
import random
import tempfile

from martenjunction import errors
from martenjunction.platform import box_settings
from martenjunction_lab import boxes
from martenjunction_lab import settings_files
from martenjunction_lab.fuzz import spans
from martenjunction_lab.fuzz import targets

_ODD = tuple(
    text.encode()
    for text in (
        "",
        '""',
        '"x"',
        "''",
        "0",
        "-1",
        "1e400",
        "inf",
        "-inf",
        "nan",
        "1.5",
        "01",
        "0x10",
        "true",
        "[]",
        "[1]",
        '["a"]',
        '[["a", "b"]]',
        "{}",
        '{a = "b"}',
        "1979-05-27",
        "1979-05-27T07:32:00Z",
        "'\u0000'",
        '"\\ud800"',
        '"\\u0000"',
        "9" * 400,
        '["metering"]',
        '["autoscaling", 1]',
    )
) + (b'"\xff"', b"'\xed\xa0\x80'")
_LARGE = (b"9" * 5000, b"[" * 3000 + b"]" * 3000, b"{a=" * 2000, b"[" * 3000)

_MORE = """[zones]
zone-a = "region-a"
[cloud]
duties = ["metering", "autoscaling"]
address = "10.0.0.9:80"
"""
_BOUNDS = "[bounds]\nlease_ms = 3000\nwindow_s = 10\nusage_late_s = 5\n"


def _document() -> spans.Document:
    text = settings_files.settings_text(
        boxes.settings("edge-a-1", "10.200.0.1:8223", metrics_port=9464)
    ).replace("[bounds]\n", _BOUNDS)
    data = (text + _MORE).encode()
    names, values, members = [], [], []
    start = 0
    for line in data.splitlines(keepends=True):
        end = start + len(line) - 1
        equals = line.find(b" = ")
        if equals >= 0:
            names.append((start, start + equals))
            values.append((start + equals + 3, end))
        if line.strip():
            members.append((start, end))
        start = end + 1
    return spans.Document(
        data, tuple(values), tuple(members), tuple(names), _ODD, _LARGE, b"\n"
    )


@targets.registered.register("box-settings")
class BoxSettingsFiles(targets.Target):
    """Settings files as the platform writes them."""

    declared = (errors.SettingsError,)
    _sound = _document()

    def __init__(self) -> None:
        self._folder = tempfile.TemporaryDirectory()
        self._file = pathlib.Path(self._folder.name) / "local.toml"

    def __del__(self) -> None:
        self._folder.cleanup()

    def generate(self, rng: random.Random) -> bytes:
        """Returns a file."""
        return spans.mutate(rng, self._sound)

    def check(self, data: bytes) -> None:
        """Reads a file; all settings have their types."""
        self._file.write_bytes(data)
        settings = box_settings.read(str(self._file))
        _check_types(settings)
        if settings.duties is not None:
            _check_types(settings.duties)


def _check_types(
    settings: box_settings.BoxSettings | box_settings.DutySettings,
) -> None:
    for field in dataclasses.fields(settings):
        value = getattr(settings, field.name)
        if field.type is str and not isinstance(value, str):
            raise targets.OracleError("a text setting is no text")
        if field.type is float and not _is_number(value):
            raise targets.OracleError("a number setting is no finite number")
        if field.type is int and type(value) is not int:
            raise targets.OracleError("a whole number setting is none")


def _is_number(value: object) -> bool:
    return type(value) in (int, float) and math.isfinite(value)  # type: ignore[arg-type]
