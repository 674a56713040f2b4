"""Counts the parts of a JSON text before it is parsed."""

from dataclasses import dataclass

# A job has at most 256 steps with two containers each, and 32,640 dependencies are possible. Signs
# within texts count as well, so the limit leaves out a `spec` of 4,000 brackets.
CONTAINER_LIMIT = 6_144
VALUE_LIMIT = 65_536
# Upper bounds of the memory of an object and of a number; 390 and 16 bytes were measured.
CONTAINER_BYTES = 1_000
VALUE_BYTES = 24


@dataclass(frozen=True, slots=True)
class RequestSize:
    """The objects and arrays of a request, and all its values."""

    container_count: int
    value_count: int

    def is_within_limits(self) -> bool:
        """Return whether the request may be parsed."""
        return self.container_count <= CONTAINER_LIMIT and self.value_count <= VALUE_LIMIT

    def estimate_parsed_bytes(self) -> int:
        """Return an upper bound of the memory of the parsed request without its texts."""
        return self.container_count * CONTAINER_BYTES + self.value_count * VALUE_BYTES


def measure_request(body: bytes) -> RequestSize:
    """Return the size of a JSON text; it takes no time worth mentioning, whatever the bytes are."""
    containers = body.count(b'{') + body.count(b'[')
    return RequestSize(containers, containers + body.count(b','))
