"""Metrics that are fetched over HTTP."""

import pytest

from bench.job_fleet import run_job_fleet
from comfreywind.exposed_metrics import ExposedMetrics
from comfreywind.http.client import HttpClient


@pytest.mark.parametrize(
    'line',
    [
        'comfreywind_calls_POST_200_total 2.0',
        'comfreywind_calls_POST_seconds_bucket{le="0.5"} 1.0',
        'comfreywind_calls_POST_seconds_count 2.0',
        'comfreywind_jobs_open 7.0',
    ],
)
def test_render(line: str) -> None:
    """Guards against metrics that the usual collectors can't read."""
    metrics = ExposedMetrics()
    for duration_s in (0.3, 0.7):
        metrics.count('calls.POST.200')
        metrics.record_duration('calls.POST', duration_s)
    metrics.set_level('jobs.open', 7)
    assert line in metrics.render().decode().splitlines()


async def test_metrics_of_node() -> None:
    """Guards against a node whose metrics address shows nothing of the jobs that it serves."""
    async with run_job_fleet(node_count=1, target_count=1) as fleet:
        await fleet.submit(0, '00000000000000c1')
        await fleet.wait_for_state(0, '00000000000000c1', 'complete')
        client = HttpClient(fleet.metrics_addresses[0], 5)
        shown = (await client.call('GET', '/metrics')).body.decode()
        await client.close()
    for name in ('calls_POST_200_total 1.0', 'starts_started_total 2.0', 'plan_seconds_count'):
        assert f'comfreywind_{name}' in shown
    assert 'comfreywind_store_calls_200_total' in shown


async def test_metrics_port_in_use() -> None:
    """Guards against a node that serves no jobs because its metrics port is taken."""
    async with run_job_fleet(node_count=1, target_count=1) as fleet:
        taken = fleet.metrics_addresses[0]
        async with fleet.run_node('node-1', metrics_address=taken) as node:
            assert await fleet.submit(node, '00000000000000c1') == 200


def test_names_that_become_the_same() -> None:
    """Guards against an error of the holder or a call when two queues differ in punctuation only."""
    metrics = ExposedMetrics()
    for queue in ('re-build', 're_build'):
        metrics.count(f'refused_for_scarcity.{queue}')
        metrics.set_level(f'scarce_queue_wait_s.{queue}', 7)
    shown = metrics.render().decode().splitlines()
    assert 'comfreywind_refused_for_scarcity_re_build_total 2.0' in shown
    assert 'comfreywind_scarce_queue_wait_s_re_build 7.0' in shown
