"""Notices of accepted jobs, which reach the holder without the feed of the store.

Pattern: the store drops its history in a burst. Its feeds tell of nothing for a second and are then
cut, and all jobs of that second started late (0.60 of the worth on villacres-quito scale-1).
"""

from typing import Any, cast

import pytest
import trio

from bench.job_fleet import run_job_fleet
from comfreywind.intake.job_notice import NOTICE_HEADER, decode_notice, encode_notice
from comfreywind.jobs.job_codec import encode_job
from comfreywind.jobs.row_format import RowFormatError
from comfreywind.jobs.tables import TABLE_INTAKE, compute_intake_partition
from comfreywind.node.peer_app import PeerApp
from comfreywind.platform.stored_row import StoredRow
from tests.helpers.scheduler_harness import JOB_ID, make_job

ROW = StoredRow(TABLE_INTAKE, compute_intake_partition(JOB_ID), JOB_ID, encode_job(make_job()), 41)
# The feeds of a node that starts have to be read once, and nodes read each other's rows after 1 s.
PEERS_KNOWN_S = 2.5
START_LIMIT_S = 1.0


def test_notice_is_the_row() -> None:
    """A notice holds all that the feed tells of the job."""
    assert decode_notice(encode_notice(ROW)) == ROW


@pytest.mark.parametrize('body', [b'', b'\xc1', b'\x93\xa1x\x01\xa1y', encode_notice(ROW)[:-1]])
def test_foreign_notice(body: bytes) -> None:
    """A notice in another format is an error of its own, not a job."""
    with pytest.raises(RowFormatError):
        decode_notice(body)


@pytest.mark.parametrize(
    ('headers', 'body', 'status', 'noticed', 'passed'),
    [
        pytest.param([NOTICE_HEADER], encode_notice(ROW), 200, 1, 0, id='notice'),
        pytest.param([NOTICE_HEADER], b'?', 400, 0, 0, id='not a notice'),
        pytest.param([], encode_notice(ROW), 204, 0, 1, id='call of a caller'),
    ],
)
async def test_peer_app(
    headers: list[tuple[bytes, bytes]], body: bytes, status: int, noticed: int, passed: int
) -> None:
    """Notices go to the holder, all other calls to the app for callers."""
    rows: list[StoredRow] = []
    calls: list[Any] = []
    replies: list[dict[str, Any]] = []

    async def caller_app(scope: Any, receive: Any, send: Any) -> None:
        calls.append(scope)
        await send({'type': 'http.response.start', 'status': 204, 'headers': []})

    async def receive() -> dict[str, Any]:
        return {'type': 'http.request', 'body': body, 'more_body': False}

    async def send(message: dict[str, Any]) -> None:
        replies.append(message)

    app = PeerApp(cast('Any', caller_app), rows.append)
    await app({'type': 'http', 'headers': headers}, receive, send)
    assert (replies[0]['status'], len(rows), len(calls)) == (status, noticed, passed)


async def test_jobs_start_while_feeds_are_quiet() -> None:
    """Jobs start at once at every node although the feed tells the holder of none of them."""
    async with run_job_fleet(node_count=2) as fleet:
        assert await fleet.submit(0, '00000000000000b0') == 200
        await fleet.wait_for_state(0, '00000000000000b0', 'complete')
        await trio.sleep(PEERS_KNOWN_S)
        fleet.store.faults.quiet_feeds = True
        for node in range(2):
            job_id = f'00000000000000c{node}'
            assert await fleet.submit(node, job_id) == 200
            with trio.fail_after(START_LIMIT_S):
                while not any(job_id in str(start) for start in fleet.log.starts):
                    await trio.sleep(0.02)
