"""Refusals as callers see them (RFC 9457)."""

import enum
from dataclasses import dataclass

PROBLEM_TYPE_PREFIX = 'urn:comfreywind:problem:'


class Outcome(enum.StrEnum):
    """What a caller may conclude from a response: whether the request has run."""

    ANSWERED = 'answered'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class RefusalReason(enum.Enum):
    """Reason of a refusal, with its problem type, HTTP status and title."""

    KEY_MISSING = ('key-missing', 401, 'A key is needed')
    KEY_UNKNOWN = ('key-unknown', 401, 'The key is not known or was withdrawn')
    TEAM_MISMATCH = ('team-mismatch', 403, 'The key belongs to another team')
    QUEUE_NOT_ALLOWED = ('queue-not-allowed', 403, 'The team may not use this queue')
    QUEUE_UNKNOWN = ('queue-unknown', 404, 'There is no such queue')
    CLAIM_EXISTS = ('claim-exists', 409, 'The idempotency key was used before')
    KEY_REUSED = ('idempotency-key-reused', 422, 'The idempotency key is of another request')
    METHOD_NOT_ALLOWED = ('method-not-allowed', 405, 'The method is not forwarded')
    BODY_TIMEOUT = ('body-timeout', 408, 'The request body did not arrive in time')
    VERSION_UNSUPPORTED = ('http-version-unsupported', 505, 'Only HTTP/1.1 is served')
    BODY_TOO_LARGE = ('body-too-large', 413, 'The request body is too large')
    HEADER_MALFORMED = ('header-malformed', 400, 'A header of the request is malformed')
    QUEUE_FULL = ('queue-full', 429, 'The queue is full')
    CEILING_REACHED = ('ceiling-reached', 429, 'The team is at its ceiling')
    DEADLINE_IN_QUEUE = ('deadline-in-queue', 503, 'The deadline passed before a start')
    ENTRY_STARTING = ('entry-starting', 503, 'This entry has no rules yet')
    ENTRY_STOPPING = ('entry-stopping', 503, 'This entry is shutting down')
    RULES_STALE = ('rules-stale', 503, 'This entry is cut off and its rules may be old')
    SESSION_LAPSED = ('session-lapsed', 503, 'This entry may not start work now')
    CLAIM_UNAVAILABLE = ('claim-unavailable', 503, 'The idempotency key could not be claimed')
    NO_TARGET = ('no-target', 503, 'No target is available')
    TARGET_FAILED = ('target-failed', 502, 'The target failed')
    TARGET_TIMEOUT = ('target-timeout', 504, 'The target did not answer in time')

    def __init__(self, problem: str, status: int, title: str) -> None:
        """Set the elements of the value as attributes."""
        self.problem = problem
        self.status = status
        self.title = title


@dataclass(frozen=True, slots=True)
class Refusal:
    """A final refusal of a request; `retry_after_s` is None if a retry can't help."""

    reason: RefusalReason
    detail: str
    outcome: Outcome = Outcome.NOT_RUN
    retry_after_s: float | None = None

    def to_document(self, request_id: str) -> dict[str, object]:
        """Return the problem details document for the body of the response."""
        document: dict[str, object] = {
            'type': f'{PROBLEM_TYPE_PREFIX}{self.reason.problem}',
            'title': self.reason.title,
            'status': self.reason.status,
            'detail': self.detail,
            'outcome': self.outcome.value,
            'request_id': request_id,
        }
        if self.retry_after_s is not None:
            document['retry_after_s'] = self.retry_after_s
        return document
