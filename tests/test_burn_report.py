"""Service-level burn: classification, windows, and summaries that outlive an entry."""

from datetime import UTC, datetime, timedelta
from pathlib import Path

import pytest
from syrupy.assertion import SnapshotAssertion

from bench.caller import call_entry
from bench.fleet import OPERATOR_TOKEN, Fleet, wait_until
from bench.fleet_plan import DEFAULT_BUNDLE, FleetPlan
from comfreywind.bundle.rules import Objective
from comfreywind.report.burn_html import format_burn_html
from comfreywind.report.burn_report import BurnReport, make_burn_report
from comfreywind.report.burn_text import format_burn_text
from comfreywind.report.request_facts import RequestFacts
from comfreywind.report.result_bucket import ResultBucket
from comfreywind.report.service_result import classify_request
from tests.helpers.program import run_program

NOW = datetime(2026, 3, 1, 12, 0, 30, tzinfo=UTC)
OBJECTIVE = Objective('rebuild', success_ratio=0.99, latency_s=1)
CLASSIFICATION_CASES = (
    (200, '', 0.5, True, 'good'),
    (200, '', 1.5, True, 'late'),
    (500, '', 0.1, True, 'target-error'),
    (200, '', 0.1, False, 'broken-off'),
    (429, 'queue-full', 0.0, True, 'queue-full'),
    (401, 'key-unknown', 0.0, True, None),
    (422, 'idempotency-key-reused', 0.0, True, None),
)


@pytest.mark.parametrize(
    ('status', 'reason', 'duration_s', 'complete', 'expected'), CLASSIFICATION_CASES
)
def test_classification(
    status: int, reason: str, duration_s: float, complete: bool, expected: str | None
) -> None:
    """Guards against the callers' own mistakes spending a service's budget."""
    facts = RequestFacts('1', 'rebuild', 'rosters', status, '', reason, duration_s, complete)
    assert classify_request(facts, OBJECTIVE.latency_s) == expected


def make_report(bad_minutes: int) -> BurnReport:
    """Return a report of 2 hours of 100 requests a minute, a fifth bad at the end."""
    minutes = []
    for age in range(120):
        bucket = ResultBucket(NOW.replace(second=0) - timedelta(minutes=age), 60)
        bad_count = 20 if age < bad_minutes else 0
        for index in range(100):
            bucket.add('rebuild', 'rosters', 'late' if index < bad_count else 'good')
        minutes.append(bucket)
    return make_burn_report(NOW, [OBJECTIVE], minutes, minutes)


@pytest.mark.parametrize(
    ('bad_minutes', 'firing'),
    (
        (0, []),
        (3, []),
        (10, ['ticket, 3 d']),
        (60, ['page, 1 h', 'page, 6 h', 'ticket, 3 d']),
        (120, ['page, 1 h', 'page, 6 h', 'ticket, 3 d']),
    ),
)
def test_alerts(bad_minutes: int, firing: list[str]) -> None:
    """Guards against alerts that fire for a short spike or stay silent in a long failure."""
    service = make_report(bad_minutes).services[0]
    assert [window.name for window in service.windows if window.firing] == firing


def test_formats(snapshot: SnapshotAssertion) -> None:
    """Guards against unintended changes of the report's text and page."""
    report = make_report(60)
    assert format_burn_text(report) == snapshot
    assert format_burn_html(report) == snapshot


def test_summaries_outlive_the_entry(tmp_path: Path) -> None:
    """Guards against counts that are lost when the entry that made them is replaced."""
    bundle = {**DEFAULT_BUNDLE, 'objectives': [{'queue': 'rebuild'}]}
    plan = FleetPlan(entries_count=2, bundle=bundle)
    plan.timings = {**plan.timings, 'summary_interval_s': 0.2}
    with Fleet(plan) as fleet:
        for _ in range(5):
            call_entry(fleet.caller_addresses[0], '/queues/rebuild/work', fleet.keys['rosters'])
        wait_until(lambda: count_requests(fleet) == 5, 'summaries')
        fleet.entries[0].kill()
        assert count_requests(fleet) == 5
        output = tmp_path / 'burn.html'
        result = run_program(
            *('report', 'burn', '--format', 'html', '--output', str(output)),
            *('--entry', fleet.operator_addresses[1], '--token', OPERATOR_TOKEN),
        )
        assert result.exit_status == 0
        assert '<svg' in output.read_text()


def count_requests(fleet: Fleet) -> int:
    """Return how many requests the report of the second entry knows of."""
    report = fleet.call_operator('GET', '/v1/report/burn', entry=1)
    return int(report['services'][0]['requests_count'])
