"""Policy programs in separate files."""

import dataclasses
import pathlib

from martenjunction import errors
from martenjunction.config import ini

# Key of a policy section that names the file with its program.
PROGRAM_FILE_KEY = "file"

# Key of a policy section that holds the program itself.
SOURCE_KEY = "source"


def inline_program(section: ini.Section) -> ini.Section:
    """Replaces a reference to a program file by the program.

    The path is relative to the folder of the INI file.

    Raises:
        SettingsError: If the program file cannot be read.
    """
    name = section.values.get(PROGRAM_FILE_KEY)
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
            PROGRAM_FILE_KEY,
        ) from error
    values = {k: v for k, v in section.values.items() if k != PROGRAM_FILE_KEY}
    values[SOURCE_KEY] = source
    return dataclasses.replace(section, values=values)
