"""Placement at size: the cost of a start must not grow with the number of targets.

Pattern: an ordered index for best fit in place of a scan of all targets for each task. Seen on
prevoz-plan-large quiet-1: 108 targets were described anew for each of 470 choices a second.
"""

from collections.abc import Iterator

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from comfreywind.decisions.scheduling import capacity_index
from comfreywind.decisions.scheduling.capacity_index import CapacityIndex
from comfreywind.decisions.scheduling.placement import TargetCapacity, compute_effective_request
from comfreywind.jobs.resources import Resources
from comfreywind.jobs.step import Step
from comfreywind.scheduling.orders import StartOrder
from tests.helpers.scheduler_harness import SchedulerHarness, make_job

TARGETS = 272
LOOKS_PER_START = 2

ROOMS = st.lists(
    st.builds(
        TargetCapacity,
        st.sampled_from([f't{number}' for number in range(12)]),
        st.builds(Resources, st.integers(0, 6), st.integers(0, 6), st.integers(0, 1)),
        st.frozensets(st.sampled_from(['r1', 'r2', 'big']), max_size=2),
        st.booleans(),
        st.booleans(),
    ),
    unique_by=lambda room: room.target_id,
)
STEPS = st.builds(
    Step,
    st.just(1),
    st.builds(Resources, st.integers(0, 6), st.integers(0, 6), st.integers(0, 1)),
    required_label=st.sampled_from(['', 'big']),
    preferred_rack=st.sampled_from(['', 'r1']),
    target_limit=st.integers(0, 2),
    long_running=st.booleans(),
    best_effort=st.booleans(),
    unavailable_limit=st.integers(0, 1),
)
NAMES = st.frozensets(st.sampled_from([f't{number}' for number in range(12)]))
COUNTS = st.dictionaries(st.sampled_from([f't{number}' for number in range(12)]), st.integers(1, 3))


def choose_by_scan(
    step: Step,
    rooms: list[TargetCapacity],
    avoided: frozenset[str],
    same_step: dict[str, int],
    allowed: frozenset[str] | None,
) -> str | None:
    """Return the choice of a scan of all targets, which the index must agree with."""

    def list_candidates() -> Iterator[tuple[object, ...]]:
        for room in rooms:
            count = same_step.get(room.target_id, 0)
            labelled = not step.required_label or step.required_label in room.labels
            below = not step.target_limit or count < step.target_limit
            permitted = allowed is None or room.target_id in allowed
            if not (
                compute_effective_request(step).fits(room.free) and labelled and below and permitted
            ):
                continue
            yield (
                room.target_id in avoided,
                step.long_running and room.maintenance_due,
                count if step.unavailable_limit else 0,
                step.best_effort and room.serving,
                bool(step.preferred_rack) and step.preferred_rack not in room.labels,
                room.free.cpu_millicores,
                room.target_id,
            )

    best = min(list_candidates(), default=None)
    return None if best is None else str(best[-1])


@settings(derandomize=True, max_examples=500, deadline=None)
@given(ROOMS, STEPS, NAMES, COUNTS, st.none() | NAMES)
def test_same_choice_as_scan(
    rooms: list[TargetCapacity],
    step: Step,
    avoided: frozenset[str],
    same_step: dict[str, int],
    allowed: frozenset[str] | None,
) -> None:
    """Guards against an index that is fast and places tasks elsewhere than the rule says."""
    index = CapacityIndex([])
    for room in rooms:
        index.replace(TargetCapacity(room.target_id, Resources(1, 1), frozenset()))
    for room in rooms:
        index.replace(room)
    chosen = index.choose(step, avoided, same_step, allowed)
    assert (chosen and chosen.target_id) == choose_by_scan(step, rooms, avoided, same_step, allowed)


def test_removed() -> None:
    """Guards against starts on a target that takes none any more."""
    index = CapacityIndex([TargetCapacity('t0', Resources(4, 4), frozenset())])
    index.remove('t0')
    index.remove('t0')
    assert index.choose(Step(1, Resources(1, 1))) is None


def test_looks_per_start(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a holder that takes longer for each start the larger the fleet is."""
    looks = 0
    compute_rank = capacity_index._compute_rank

    def count_look(*arguments: object) -> capacity_index.Rank:
        nonlocal looks
        looks += 1
        return compute_rank(*arguments)  # type: ignore[arg-type]

    monkeypatch.setattr(capacity_index, '_compute_rank', count_look)
    rig = SchedulerHarness(targets=TARGETS, cpu=32_000)
    for number in range(200):
        steps = (Step(8, Resources(4_500, 100)),)
        rig.add_job(make_job(*steps, job_id=f'{number:016x}'))
    starts = [order for order in rig.plan() if isinstance(order, StartOrder)]
    assert len(starts) == 200 * 8
    assert looks <= LOOKS_PER_START * len(starts)
