"""Registries of named extensions, filled by decorators."""

from collections.abc import Callable
from collections.abc import Iterator
from typing import Generic
from typing import TypeVar

from martenjunction import errors

T = TypeVar("T")


class Registry(Generic[T]):
    """A registry of extensions of one kind."""

    def __init__(self, kind: str) -> None:
        """Initializes an empty registry.

        Args:
            kind: The kind of extension, for error messages.
        """
        self._kind = kind
        self._items: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Returns a decorator that registers its argument as `name`."""

        def decorate(item: T) -> T:
            if name in self._items:
                raise ValueError(f"{self._kind} {name!r} is registered twice")
            self._items[name] = item
            return item

        return decorate

    def get(self, name: str) -> T:
        """Returns the extension called `name`.

        Raises:
            MartenjunctionError: If there is no such extension.
        """
        try:
            return self._items[name]
        except KeyError:
            known = ", ".join(sorted(self._items))
            raise errors.MartenjunctionError(
                f"unknown {self._kind} {name!r}; known: {known}"
            ) from None

    def __iter__(self) -> Iterator[str]:
        return iter(sorted(self._items))

    def __contains__(self, name: object) -> bool:
        return name in self._items
