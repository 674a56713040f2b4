"""Unreadable rows in the tables of the scheduler, as another program or version may write them."""

import pytest
import trio

from bench.job_fleet import JobFleet, run_job_fleet
from comfreywind.jobs.job_codec import encode_job
from comfreywind.jobs.row_format import RowFormatError
from comfreywind.jobs.tables import (
    HOLDER_PARTITION,
    TABLE_INTAKE,
    TABLE_PROGRESS,
    TABLE_TERM,
    TARGET_REGISTRY_KEY,
    TERM_KEY,
    TERM_PARTITION,
    compute_intake_partition,
    compute_progress_partition,
)
from comfreywind.scheduling.term_row import decode_registry, decode_term
from tests.helpers.scheduler_harness import JOB_ID, make_job
from tests.scheduling.test_holder import write_row

OTHER_JOB_ID = '00000000000000a8'


async def run_other_job(fleet: JobFleet, node: int) -> None:
    """Submit a job and wait until it is complete."""
    assert await fleet.submit(node, OTHER_JOB_ID) == 200
    await fleet.wait_for_state(node, OTHER_JOB_ID, 'complete')


@pytest.mark.parametrize('garbage', [b'\xc1', b'\x91\x63'])
async def test_unreadable_progress(garbage: bytes) -> None:
    """One unreadable progress row must not stop the holder, and with it the work of all queues."""
    async with run_job_fleet(node_count=1, target_count=1) as fleet:
        fleet.scopes[0].cancel()
        store = fleet.store.store
        write_row(
            store, TABLE_INTAKE, compute_intake_partition(JOB_ID), JOB_ID, encode_job(make_job())
        )
        write_row(store, TABLE_PROGRESS, compute_progress_partition(JOB_ID), JOB_ID, garbage)
        async with fleet.run_node('node-1') as node:
            await run_other_job(fleet, node)
            # What the job has done is not known, so a start could repeat it.
            assert {task.split('.')[0] for task, _, _ in fleet.log.starts} == {OTHER_JOB_ID}
            assert await fleet.read_state(node, JOB_ID) == '500'


@pytest.mark.parametrize('garbage', [b'\xc1', b'\x91\x63'])
async def test_overwritten_progress(garbage: bytes) -> None:
    """A progress row that becomes unreadable while its job runs must not stop the holder."""
    async with run_job_fleet(node_count=1, target_count=1) as fleet:
        store = fleet.store.store
        await run_other_job(fleet, 0)
        assert await fleet.submit(0, JOB_ID, spec='work_s=0.6') == 200
        await fleet.wait_for_state(0, JOB_ID, 'in_progress')
        write_row(store, TABLE_PROGRESS, compute_progress_partition(JOB_ID), JOB_ID, garbage)
        await fleet.wait_for_state(0, JOB_ID, 'complete')


@pytest.mark.parametrize(
    ('part', 'key'), [(TERM_PARTITION, TERM_KEY), (HOLDER_PARTITION, TARGET_REGISTRY_KEY)]
)
@pytest.mark.parametrize('garbage', [b'\xc1', b'\x91\x63', b'\x01'])
async def test_unreadable_term_rows(part: str, key: str, garbage: bytes) -> None:
    """A node must be able to take the term although the lease row or the registry is unreadable."""
    async with run_job_fleet(node_count=1, target_count=1) as fleet:
        fleet.scopes[0].cancel()
        store = fleet.store.store
        write_row(
            store, TABLE_INTAKE, compute_intake_partition(JOB_ID), JOB_ID, encode_job(make_job())
        )
        write_row(store, TABLE_TERM, part, key, garbage)
        async with fleet.run_node('node-1') as node:
            await fleet.wait_for_state(node, JOB_ID, 'complete')


async def test_term_row_garbled_while_held() -> None:
    """A holder whose lease row becomes unreadable must not stop for good or keep the term."""
    async with run_job_fleet(node_count=2, target_count=1) as fleet:
        await run_other_job(fleet, 0)
        write_row(fleet.store.store, TABLE_TERM, TERM_PARTITION, TERM_KEY, b'\xc1')
        await trio.sleep(1)
        assert await fleet.submit(1, JOB_ID) == 200
        await fleet.wait_for_state(0, JOB_ID, 'complete')


@pytest.mark.parametrize('garbage', [b'\xc1', b'\x91\x63', b'\x01', b'\x92\xa1a\xa1b'])
def test_term_row_format(garbage: bytes) -> None:
    """An unreadable lease row raises the type of error that callers handle."""
    with pytest.raises(RowFormatError):
        decode_term(garbage)


@pytest.mark.parametrize('garbage', [b'\xc1', b'\x01', b'\x91\x91\x01'])
def test_registry_row_format(garbage: bytes) -> None:
    """An unreadable registry row raises the type of error that the holder handles."""
    with pytest.raises(RowFormatError):
        decode_registry(garbage)
