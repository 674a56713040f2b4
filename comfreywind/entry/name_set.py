"""A set of names that supports random sampling."""

from collections.abc import Iterator


class NameSet:
    """Adds, removes and indexes names in constant time, in arbitrary order."""

    def __init__(self) -> None:
        """Start empty."""
        self.names: list[str] = []
        self._positions: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of names."""
        return len(self.names)

    def __iter__(self) -> Iterator[str]:
        """Iterate over the names."""
        return iter(self.names)

    def set_member(self, name: str, member: bool) -> None:
        """Add the name if `member` is true, else remove it."""
        if member == (name in self._positions):
            return
        if member:
            self._positions[name] = len(self.names)
            self.names.append(name)
            return
        position = self._positions.pop(name)
        last = self.names.pop()
        if last != name:
            self.names[position] = last
            self._positions[last] = position
