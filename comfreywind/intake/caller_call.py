"""A caller's request as it was received."""

from dataclasses import dataclass, field

from comfreywind.intake.call_trace import CallTrace


@dataclass(frozen=True, slots=True)
class CallerCall:
    """Method, path, headers by lower-case name, the whole body, and the steps of its handling.

    `reply_by_s` is when the caller needs a reply, on the steady clock.
    """

    method: str
    path: str
    headers: dict[bytes, bytes]
    body: bytes
    reply_by_s: float = float('inf')
    trace: CallTrace = field(default_factory=CallTrace, compare=False)
