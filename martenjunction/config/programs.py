"""Programs of policies that stand in files of their own."""

import dataclasses
import pathlib

from martenjunction import errors
from martenjunction.config import ini

# In a file, a policy may name the file that holds its program.
PROGRAM_KEY = "file"

# The key under which a policy's program stands in its section.
SOURCE_KEY = "source"


def include(section: ini.Section) -> ini.Section:
    """Reads the file that a policy names, beside the INI file.

    Raises:
        SettingsError: If it cannot be read.
    """
    name = section.values.get(PROGRAM_KEY)
    if name is None or not section.title.startswith("policy "):
        return section
    path = pathlib.Path(section.file).parent / name
    try:
        source = path.read_text(encoding="utf-8")
    except OSError as error:
        raise errors.SettingsError(
            f"{path}: {error.strerror}",
            section.file,
            section.title,
            PROGRAM_KEY,
        ) from error
    values = {k: v for k, v in section.values.items() if k != PROGRAM_KEY}
    values[SOURCE_KEY] = source
    return dataclasses.replace(section, values=values)
