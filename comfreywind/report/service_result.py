"""Classifies the result of a request for its service-level objective."""

import enum

from comfreywind.report.request_facts import RequestFacts

FIRST_SERVER_ERROR_STATUS = 500
# Refusals that are the caller's fault do not count against the objective.
CALLER_FAULT_REASONS = frozenset(
    (
        'key-missing',
        'key-unknown',
        'team-mismatch',
        'queue-not-allowed',
        'queue-unknown',
        'claim-exists',
        'idempotency-key-reused',
        'method-not-allowed',
        'http-version-unsupported',
        'body-timeout',
        'body-too-large',
        'header-malformed',
    )
)


class ServiceResult(enum.StrEnum):
    """Result of a request that was not refused; a refusal is counted under its reason."""

    GOOD = 'good'
    LATE = 'late'
    TARGET_ERROR = 'target-error'
    BROKEN_OFF = 'broken-off'


def classify_request(facts: RequestFacts, latency_limit_s: float) -> str | None:
    """Return the service result or the reason of a refusal; None for a fault of the caller."""
    if facts.reason:
        return None if facts.reason in CALLER_FAULT_REASONS else facts.reason
    if not facts.complete:
        return ServiceResult.BROKEN_OFF.value
    if facts.status >= FIRST_SERVER_ERROR_STATUS:
        return ServiceResult.TARGET_ERROR.value
    if facts.duration_s > latency_limit_s:
        return ServiceResult.LATE.value
    return ServiceResult.GOOD.value
