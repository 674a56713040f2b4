"""A caller's request as it was received."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CallerCall:
    """Method, path, headers by lower-case name, and the whole body."""

    method: str
    path: str
    headers: dict[bytes, bytes]
    body: bytes
