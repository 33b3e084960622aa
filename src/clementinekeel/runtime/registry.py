"""Registries of interchangeable implementations, by name."""

from collections.abc import Callable
from typing import Generic, TypeVar

T = TypeVar("T")


class UnknownNameError(LookupError):
    """No implementation is registered under the name."""


class Registry(Generic[T]):
    """Maps names to implementations of one kind, registered by decorator.

    Parameters
    ----------
    kind : str
        Word for an implementation in error messages, such as ``"limiter"``.
    """

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self._entries: dict[str, T] = {}
        self._names: dict[T, str] = {}

    @property
    def names(self) -> list[str]:
        """Registered names, sorted."""
        return sorted(self._entries)

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that registers its argument.

        Parameters
        ----------
        name : str
            Name to register under.

        Returns
        -------
        Callable
            Decorator that returns its argument unchanged.

        Raises
        ------
        ValueError
            If the name is taken.
        """

        def decorate(entry: T) -> T:
            if name in self._entries:
                raise ValueError(f"{self._kind} {name!r} is already defined")
            self._entries[name] = entry
            self._names[entry] = name
            return entry

        return decorate

    def get(self, name: str) -> T:
        """Return the implementation registered under a name.

        Raises
        ------
        UnknownNameError
            If there is none.
        """
        try:
            return self._entries[name]
        except KeyError:
            known = ", ".join(self.names)
            raise UnknownNameError(
                f"unknown {self._kind} {name!r} (known: {known})"
            ) from None

    def name_of(self, entry: T) -> str:
        """Return the name under which an implementation is registered.

        Raises
        ------
        UnknownNameError
            If it is not registered.
        """
        try:
            return self._names[entry]
        except KeyError:
            raise UnknownNameError(
                f"{entry!r} is not a registered {self._kind}"
            ) from None
