"""A caller's request that is forwarded to a target."""

from dataclasses import dataclass

from comfreywind.http.asgi_types import HeaderList


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """The admitted request; `target_path` includes the query, `headers` are those to forward.

    `deadline_s` is a monotonic time in seconds.
    """

    request_id: str
    method: str
    target_path: bytes
    headers: HeaderList
    body: bytes
    team: str
    deadline_s: float
    idempotency_key: str

    @property
    def idempotent(self) -> bool:
        """Return whether the method is idempotent (RFC 9110 section 9.2.2)."""
        return self.method in {'GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE'}
