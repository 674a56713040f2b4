"""Random walks through the fence and transfer models at sizes too large for a full search."""

from hypothesis import given, settings
from hypothesis import strategies as st
from minicheck import Protocol

from tests.model.fence_model import make_fence_protocol
from tests.model.transfer_model import THIRD, count_running, make_transfer_protocol

CHOICES = st.lists(st.integers(min_value=0, max_value=10_000), min_size=20, max_size=150)
WALKS = settings(derandomize=True, max_examples=60, deadline=None)
DRAIN_STEPS_LIMIT = 200
# Steps that end an entry's work and move its units to the third entry, in the order of preference.
DRAIN_LABELS = (
    'loses its session',
    'agrees to fence',
    'fences',
    'settles',
    'ends reclaim',
    'third',
)


def walk(protocol: Protocol, choices: list[int], invariants: list[str]) -> tuple[object, ...]:
    """Take the chosen steps, check the invariants after each of them and return the last state."""
    state = protocol.initial
    for choice in choices:
        steps = protocol.transitions(state)
        if not steps:
            break
        label, state = steps[choice % len(steps)]
        for name in invariants:
            assert protocol.invariants[name](protocol.d(state)), (name, label)
    return state


@WALKS
@given(choices=CHOICES)
def test_fence_walks(choices: list[int]) -> None:
    """Finds faults that need a longer time to live than the full search can cover."""
    protocol = make_fence_protocol(ttl=4)
    walk(protocol, choices, list(protocol.invariants))


@WALKS
@given(choices=CHOICES, ceiling=st.integers(min_value=2, max_value=6))
def test_transfer_walks(choices: list[int], ceiling: int) -> None:
    """Running work never exceeds the ceiling, with many units and repeated transfers."""
    walk(make_transfer_protocol(ceiling, 8), choices, ['running work never exceeds the ceiling'])


@WALKS
@given(choices=CHOICES, ceiling=st.integers(min_value=2, max_value=6))
def test_all_units_come_back(choices: list[int], ceiling: int) -> None:
    """No units are lost for good: after any walk, all can be reclaimed and used again."""
    protocol = make_transfer_protocol(ceiling, 8)
    state = walk(protocol, choices, [])
    for _ in range(DRAIN_STEPS_LIMIT):
        if protocol.goal(protocol.d(state)):
            break
        steps = protocol.transitions(state)
        ranked = [(_rank_label(label), position) for position, (label, _) in enumerate(steps)]
        state = steps[min(ranked)[1]][1]
    reached = protocol.d(state)
    assert dict(reached['row'].recorded).get(THIRD) == ceiling
    assert count_running(reached) == ceiling


def _rank_label(label: str) -> int:
    ranks = [rank for rank, drain_label in enumerate(DRAIN_LABELS) if drain_label in label]
    return min(ranks, default=len(DRAIN_LABELS))
