"""Classifies the result of a request for its service-level objective."""

import enum

from comfreywind.report.request_facts import RequestFacts

LOWEST_SERVER_ERROR = 500
# The caller's own mistakes say nothing about the service.
CALLER_FAULTS = frozenset(
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
    """How a request counts; refusals are counted under their reason instead."""

    GOOD = 'good'
    LATE = 'late'
    TARGET_ERROR = 'target-error'
    BROKEN_OFF = 'broken-off'


def classify_request(facts: RequestFacts, latency_limit_s: float) -> str | None:
    """Return a service result or the reason of a refusal; None when it does not count."""
    if facts.reason:
        return None if facts.reason in CALLER_FAULTS else facts.reason
    if not facts.complete:
        return ServiceResult.BROKEN_OFF.value
    if facts.status >= LOWEST_SERVER_ERROR:
        return ServiceResult.TARGET_ERROR.value
    if facts.duration_s > latency_limit_s:
        return ServiceResult.LATE.value
    return ServiceResult.GOOD.value
