"""A caller's request as it is forwarded."""

from dataclasses import dataclass

from comfreywind.http.asgi_types import HeaderList


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """Method, target path with query, headers to pass on and the whole body."""

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
        """Return whether the method may be repeated (RFC 9110 section 9.2.2)."""
        return self.method in {'GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE'}
