"""A holder that takes over from another one, in a fleet of stand-ins."""

import base64
from typing import Any

import trio

from bench.job_fleet import QUEUE_HOST, run_job_fleet
from comfreywind.decisions.scheduling.fences import compute_next_epoch
from comfreywind.jobs.job_codec import encode_job, encode_progress
from comfreywind.jobs.job_state import JobState
from comfreywind.jobs.progress import Progress
from comfreywind.jobs.queue import Queue
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
from comfreywind.scheduling.term_row import TermRow, decode_term, encode_registry, encode_term
from comfreywind.stand_ins.jobs.row_store import RowStore
from comfreywind.stand_ins.jobs.target_app import JobTargetApp
from tests.helpers.scheduler_harness import JOB_ID, make_job


def write_row(store: RowStore, table: str, part: str, key: str, payload: bytes) -> None:
    """Write a row as another node does."""
    store.apply([], [(table, part, key, base64.b64encode(payload).decode())])


async def test_end_acknowledged_during_takeover() -> None:
    """A task must not run again after its end was stored and acknowledged during a takeover.

    Seen on prevoz-plan hunt-f022-11: the earlier holder stored and acknowledged an end after its
    successor had read the progress and before the successor's fence had reached the target.
    """
    async with run_job_fleet(node_count=1, target_count=1) as fleet:
        fleet.scopes[0].cancel()
        store, target = fleet.store.store, fleet.targets[0]
        queue = Queue('rebuild', QUEUE_HOST, '/rebuild/', 'crossings', attempt_limit=3)
        part = compute_progress_partition(JOB_ID)
        write_row(
            store,
            TABLE_INTAKE,
            compute_intake_partition(JOB_ID),
            JOB_ID,
            encode_job(make_job(queue=queue)),
        )
        write_row(store, TABLE_PROGRESS, part, JOB_ID, encode_progress(Progress()))
        write_row(
            store,
            TABLE_TERM,
            HOLDER_PARTITION,
            TARGET_REGISTRY_KEY,
            encode_registry(frozenset(('i-0',))),
        )
        released = TermRow('node-9', 7, released=True)
        write_row(store, TABLE_TERM, TERM_PARTITION, TERM_KEY, encode_term(released))

        def store_end() -> None:
            done = Progress(JobState.COMPLETE, {(0, 0, 0)})
            write_row(store, TABLE_PROGRESS, part, JOB_ID, encode_progress(done))

        async with fleet.run_node('node-1'):
            await wait_for_fence(target, 8, store_end)
            await trio.sleep(1)
        assert not fleet.log.starts


async def wait_for_fence(target: JobTargetApp, fence: int, act: Any) -> None:
    """Call `act` at the moment when a holder's fence reaches the target."""
    target.note_fence = lambda raised: act() if raised == fence else None
    with trio.fail_after(5):
        while target.fence < fence:
            await trio.sleep(0.01)


async def test_takeover_with_slow_store() -> None:
    """The leases of running tasks must not lapse while a successor reads from a slow store.

    Seen on dewpa-sched trouble-2: sixteen reads in sequence took 3.6 s with a store that answers
    100 times slower, and tasks lapsed. Now only three answers have to be awaited in sequence.
    """
    delay_s = 0.5
    async with run_job_fleet(node_count=1, target_count=1) as fleet:
        fleet.scopes[0].cancel()
        store = fleet.store.store
        write_row(
            store, TABLE_INTAKE, compute_intake_partition(JOB_ID), JOB_ID, encode_job(make_job())
        )
        write_row(
            store,
            TABLE_TERM,
            HOLDER_PARTITION,
            TARGET_REGISTRY_KEY,
            encode_registry(frozenset(('i-0',))),
        )
        released = TermRow('node-9', 7, released=True)
        write_row(store, TABLE_TERM, TERM_PARTITION, TERM_KEY, encode_term(released))
        fleet.store.faults.delay_s = delay_s
        async with fleet.run_node('node-1'):
            with trio.fail_after(10):
                while not is_taken(store):
                    await trio.sleep(0.01)
            with trio.fail_after(5 * delay_s):
                while not fleet.log.starts:
                    await trio.sleep(0.01)


def is_taken(store: RowStore) -> bool:
    """Return whether a node has taken the term after term 7."""
    stored = store.rows[TABLE_TERM, TERM_PARTITION, TERM_KEY].value
    return stored is not None and decode_term(base64.b64decode(stored)).epoch == compute_next_epoch(
        7
    )
