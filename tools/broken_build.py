"""A build of the project that is broken on purpose."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class BrokenBuild:
    """One mechanism undone.

    Attributes:
        name: What is undone.
        file: Where.
        old: The text that does it.
        new: What stands there in its place.
        scenario: The scenario that has to notice, or the id of a test.
        also: A second mechanism that has to go as well, since each of the two
            is enough: file, old and new text.
    """

    name: str
    file: str
    old: str
    new: str
    scenario: str
    also: tuple[str, str, str] | None = None
