"""What the operator is shown of an evacuation, over its whole course and changes of the holder."""

import base64
import itertools
import json

import pytest
import trio

from bench.job_fleet import JobFleet, describe_target, run_job_fleet
from comfreywind.decisions.scheduling.evacuation_state import (
    REASON_ALL,
    REASON_UNKNOWN,
    EvacuationFacts,
    EvacuationState,
    decide_evacuation_state,
)
from comfreywind.jobs.tables import TABLE_TERM, TERM_KEY, TERM_PARTITION
from comfreywind.platform.evacuation_codec import decode_evacuation_state, encode_evacuation_state
from comfreywind.scheduling.term_row import decode_term
from tests.helpers.scheduler_harness import JOB_ID

OTHER_JOB_ID = JOB_ID.replace('a', 'b')
IN_PROGRESS, COMPLETE = {'state': 'in_progress'}, {'state': 'complete'}
REJECTED = {'state': 'rejected', 'reason': REASON_UNKNOWN}


@pytest.mark.parametrize(
    ('facts', 'state'),
    [
        (EvacuationFacts(None, 0, True, False), None),
        (EvacuationFacts(False, 0, True, False), EvacuationState('rejected', REASON_UNKNOWN)),
        (EvacuationFacts(True, 1, True, False), EvacuationState('in_progress')),
        # A run of an earlier holder may be there of which this one has not heard.
        (EvacuationFacts(True, 0, False, False), EvacuationState('in_progress')),
        (EvacuationFacts(True, 0, True, False), EvacuationState('complete')),
        (EvacuationFacts(True, 1, True, True), EvacuationState('in_progress', REASON_ALL)),
        (EvacuationFacts(True, 0, True, True), EvacuationState('complete', REASON_ALL)),
    ],
)
def test_state(facts: EvacuationFacts, state: EvacuationState | None) -> None:
    """An evacuation is complete only when certainly nothing runs there, and rejected for certain."""
    assert decide_evacuation_state(facts) == state
    if state is not None:
        assert decode_evacuation_state(encode_evacuation_state(state)) == state


@pytest.mark.parametrize('payload', [b'', b'[]', b'{}', b'{"state"', b'\xff', b'[' * 100_000])
def test_odd_row(payload: bytes) -> None:
    """A row of another format is written anew instead of ending the task that reads it."""
    assert decode_evacuation_state(payload) is None


def request(fleet: JobFleet, data_centre: str, present: bool = True) -> None:
    """Write or remove the operator's row."""
    fleet.store.store.put('op', f'evacuate/{data_centre}', 'MQ==' if present else None)


async def wait_for_status(fleet: JobFleet, expected: dict[str, object]) -> None:
    """Return once the rows of states are as expected; raise trio.TooSlowError if they never are."""
    with trio.fail_after(15):
        while read_status(fleet) != expected:
            await trio.sleep(0.05)


def read_status(fleet: JobFleet) -> dict[str, object]:
    """Return the states that the operator is shown, by data centre."""
    return {
        key.removeprefix('evacuate/'): json.loads(base64.b64decode(stored.value))
        for (table, _, key), stored in fleet.store.store.rows.items()
        if table == 'status' and stored.value is not None
    }


async def test_course_of_an_evacuation() -> None:
    """Is in progress while a run is left, then complete, and gone after it was taken back.

    Another holder goes on with it: it removes the rows of requests that were taken back meanwhile.
    A data centre that nobody knows is rejected, until a target registers there.
    """
    async with run_job_fleet(node_count=1, target_count=1) as fleet:
        assert await fleet.submit(0, JOB_ID, 'work_s=2', count=1) == 200
        with trio.fail_after(5):
            while not fleet.log.starts:
                await trio.sleep(0.05)
        entry = describe_target(fleet.target_addresses[0])
        fleet.store.write_document('servers', 'i-0', {**entry, 'zone': 'north'})
        await trio.sleep(0.3)
        request(fleet, 'north')
        request(fleet, 'south')
        # No target is left here, but a node.
        request(fleet, 'dc')
        in_progress = {'state': 'in_progress', 'reason': REASON_ALL}
        complete = {'state': 'complete', 'reason': REASON_ALL}
        states = {'north': in_progress, 'south': REJECTED, 'dc': complete}
        await wait_for_status(fleet, states)
        assert await fleet.submit(0, OTHER_JOB_ID) == 200
        await wait_for_status(fleet, {**states, 'north': complete})
        assert len(fleet.log.starts) == 1
        fleet.scopes[0].cancel()
        request(fleet, 'north', present=False)
        request(fleet, 'dc', present=False)
        fleet.store.write_document('servers', 'i-0', {**entry, 'zone': 'south'})
        async with fleet.run_node('node-1') as node:
            await wait_for_status(fleet, {'south': complete})
            request(fleet, 'south', present=False)
            await fleet.wait_for_state(node, OTHER_JOB_ID, 'complete')
            await wait_for_status(fleet, {})


def count_most_missing(fleet: JobFleet, job_id: str, count: int) -> int:
    """Return how many of the tasks of a job were not running at the worst moment since all were."""
    starts = [start for start in fleet.log.starts if start[0].startswith(job_id)]
    changes = [(started_s, 1) for _, _, started_s in starts]
    changes += [(fleet.log.ended_s[start], -1) for start in starts if start in fleet.log.ended_s]
    running = list(itertools.accumulate(change for _, change in sorted(changes)))
    return count - min(running[running.index(count) :])


async def test_long_running_tasks_leave_under_load() -> None:
    """Long-running tasks leave one by one, although short ones would fill all capacity elsewhere.

    The next holder goes on with it. Never are more unavailable than the job allows.
    """
    count = 4
    step = {'count': count, 'cpu': 500, 'long_running': True, 'max_unavailable': 1}
    async with run_job_fleet(node_count=2, target_count=2) as fleet:
        entry = describe_target(fleet.target_addresses[0])
        fleet.store.write_document('servers', 'i-1', None)
        fleet.store.write_document('servers', 'i-0', {**entry, 'zone': 'north'})
        document = {'spec': 'last', 'steps': [step]}
        assert (await fleet.call(0, 'POST', JOB_ID, document)).status == 200
        with trio.fail_after(8):
            while len(fleet.targets[0].runs) < count:
                await trio.sleep(0.05)
        other = describe_target(fleet.target_addresses[1])
        fleet.store.write_document('servers', 'i-1', other)
        for number in range(150):
            assert await fleet.submit(1, f'c{number:015x}', 'work_s=1') == 200
        request(fleet, 'north')
        await trio.sleep(1.5)
        lease = fleet.store.store.rows[TABLE_TERM, TERM_PARTITION, TERM_KEY].value or ''
        holder = decode_term(base64.b64decode(lease)).holder
        fleet.scopes[int(holder.removeprefix('node-'))].cancel()
        await wait_for_status(fleet, {'north': COMPLETE})
        assert count_most_missing(fleet, JOB_ID, count) == 1
        running = [task for task in fleet.targets[1].runs if task.startswith(JOB_ID)]
        assert len(running) == count
