"""Model of a change of the holder: one task, two holders, two targets, the rows of the store.

Time passes in ticks, and each actor may be slow or pause for any time. A start may be carried out
late. Ages are capped where a higher age makes no difference. The model includes the second read of
the progress when a holder reconciles, but doesn't depend on it for protection: an end is stored
before it is acknowledged, and acknowledged within the term, so the first read shows it.
"""

import enum
from collections.abc import Iterator
from typing import NamedTuple

from minicheck import Protocol

from comfreywind.decisions.scheduling.handover import may_reconcile
from comfreywind.decisions.scheduling.term import (
    LeaseObservation,
    TermAction,
    decide_term_action,
    is_term_valid,
)

TERM = 1
# A start that is sent at the end of a term may come after another holder has taken the next one.
LEASE = 3
# A run that an earlier holder extended at the last moment of its term lapses within this time.
LAPSE = LEASE + 1
OLDEST = LAPSE + 1
NO_RUN = -1
TARGETS = (0, 1)


class Removed(enum.Enum):
    """A protection that is left out, to check that the model then finds the fault."""

    NOTHING = enum.auto()
    TERM_CHECK = enum.auto()
    FENCE = enum.auto()
    SETTLING = enum.auto()
    STORE_BEFORE_ACKNOWLEDGING = enum.auto()
    LEASE_END = enum.auto()


class Row(NamedTuple):
    """The lease row, its age, and whether the end of the task is stored."""

    epoch: int = 1
    age: int = 0
    done: bool = False


class Holder(NamedTuple):
    """A holder.

    `epoch` is 0 without a term, `seen` tells which targets have answered, and `run` is the target
    with the run that the holder knows of.
    """

    epoch: int = 0
    renewed_age: int = OLDEST
    taken_age: int = 0
    done: bool = False
    stored: bool = False
    reconciled: bool = False
    seen: tuple[bool, bool] = (False, False)
    run: int = NO_RUN


class Target(NamedTuple):
    """A target: its fence, whether the task runs, its lease in ticks, and whether the task ended."""

    fence: int = 0
    active: bool = False
    lease: int = 0
    ended: bool = False


class Late(NamedTuple):
    """A start order on its way, with the ticks until it expires."""

    target: int
    epoch: int
    left: int


State = tuple[Row, tuple[Holder, Holder], tuple[Target, Target], Late | None, bool, bool]
Move = tuple[str, State]


def make_handover_protocol(removed: Removed = Removed.NOTHING) -> Protocol:
    """Return the protocol; the first holder has the term and the task was not started."""
    first = Holder(epoch=1, renewed_age=0, taken_age=OLDEST, reconciled=True, seen=(True, True))
    targets = (Target(fence=1), Target(fence=1))
    return Protocol(
        name='change of the holder',
        candidate=False,
        fields=('row', 'holders', 'targets', 'late', 'repeated', 'noted'),
        initial=(Row(), (first, Holder()), targets, None, False, False),
        transitions=lambda state: list(_list_moves(state, removed)),
        invariants={
            'one run at a time': lambda state: not all(each.active for each in state['targets']),
            'no start after an end that is taken note of': lambda state: not state['repeated'],
        },
        goal=lambda state: state['row'].done,
    )


def _list_moves(state: State, removed: Removed) -> Iterator[Move]:
    row, holders, targets, late, repeated, noted = state
    yield 'tick', _tick(state, removed)
    for number, target in enumerate(targets):
        if target.active:
            ended = target._replace(active=False, ended=True)
            yield f'end on {number}', _with_target(state, number, ended)
    if late is not None:
        yield 'late start', _deliver_start(state, late, removed)
    for number, holder in enumerate(holders):
        for label, changed in _list_holder_moves(state, number, holder, removed):
            yield f'holder {number}: {label}', changed


def _tick(state: State, removed: Removed) -> State:
    row, holders, targets, late, repeated, noted = state
    aged = tuple(
        holder._replace(
            renewed_age=min(holder.renewed_age + 1, OLDEST),
            taken_age=min(holder.taken_age + 1, OLDEST),
        )
        for holder in holders
    )
    lapsed = tuple(_age_lease(target, removed) for target in targets)
    waiting = late._replace(left=late.left - 1) if late and late.left > 1 else None
    aged_row = row._replace(age=min(row.age + 1, OLDEST))
    return (aged_row, aged, lapsed, waiting, repeated, noted)  # type: ignore[return-value]


def _age_lease(target: Target, removed: Removed) -> Target:
    left = max(target.lease - 1, 0)
    if left or removed is Removed.LEASE_END:
        return target._replace(lease=left)
    # An end that no holder acknowledged before the lease ended is void.
    return target._replace(lease=0, active=False, ended=False)


def _deliver_start(state: State, late: Late, removed: Removed) -> State:
    row, holders, targets, _, repeated, noted = state
    target = targets[late.target]
    left = (row, holders, targets, None, repeated, noted)
    fenced = late.epoch < target.fence and removed is not Removed.FENCE
    if fenced or target.active or target.ended:
        return left
    lease = max(target.lease, late.left)
    started = target._replace(active=True, lease=lease, fence=max(late.epoch, target.fence))
    return _with_target(
        (row, holders, targets, None, repeated or noted, noted), late.target, started
    )


def _list_holder_moves(
    state: State, number: int, holder: Holder, removed: Removed
) -> Iterator[Move]:
    row = state[0]
    valid = is_term_valid(-holder.renewed_age, TERM, 0) and holder.epoch > 0
    if removed is Removed.TERM_CHECK:
        valid = holder.epoch > 0
    if not holder.epoch:
        yield from _list_takes(state, number)
        return
    if row.epoch != holder.epoch:
        yield 'sees another term', _with_holder(state, number, Holder())
    else:
        renewed = _with_holder(state, number, holder._replace(renewed_age=0))
        yield 'renews', (row._replace(age=0), *renewed[1:])  # type: ignore[misc]
    yield from _list_polls(state, number, holder, valid, removed)
    if not holder.reconciled:
        yield from _list_reconciliation(state, number, holder, removed)
    elif valid and not holder.done and holder.run == NO_RUN and state[3] is None:
        for target in TARGETS:
            yield f'starts on {target}', _start(state, number, holder, target)
    if holder.done and not holder.stored:
        stored = _with_holder(state, number, holder._replace(stored=True))
        yield 'stores the end', (row._replace(done=True), *stored[1:])  # type: ignore[misc]


def _list_takes(state: State, number: int) -> Iterator[Move]:
    row = state[0]
    observation = LeaseObservation(True, False, TERM, row.age, None)
    if decide_term_action(observation, holds_term=False) is TermAction.TAKE and row.epoch < 3:
        taken = Holder(epoch=row.epoch + 1, renewed_age=0, done=row.done, stored=row.done)
        changed = _with_holder(state, number, taken)
        yield 'takes the term', (row._replace(epoch=taken.epoch, age=0), *changed[1:])  # type: ignore[misc]


def _list_polls(
    state: State, number: int, holder: Holder, valid: bool, removed: Removed
) -> Iterator[Move]:
    for index, target in enumerate(state[2]):
        if holder.epoch < target.fence and removed is not Removed.FENCE:
            yield f'is refused by {index}', _with_holder(state, number, Holder())
        else:
            yield f'looks at {index}', _poll(state, number, index, valid, removed)


def _poll(state: State, number: int, index: int, valid: bool, removed: Removed) -> State:
    holder, target = state[1][number], state[2][index]
    known = removed is Removed.STORE_BEFORE_ACKNOWLEDGING
    seen = tuple(holder.seen[each] or each == index for each in TARGETS)
    done = holder.done or target.ended
    run = holder.run
    if target.active and not done:
        run = index
    elif holder.run == index and state[3] is None:
        run = NO_RUN
    updated = holder._replace(seen=seen, done=done, run=run)
    acknowledges = valid and target.ended and (holder.stored or known)
    held = target._replace(
        fence=max(target.fence, holder.epoch),
        lease=LEASE if valid and target.lease else target.lease,
        ended=target.ended and not acknowledges,
    )
    changed = _with_target(_with_holder(state, number, updated), index, held)
    return (*changed[:5], changed[5] or acknowledges)


def _list_reconciliation(
    state: State, number: int, holder: Holder, removed: Removed
) -> Iterator[Move]:
    unseen = sum(not each for each in holder.seen)
    settles = may_reconcile(unseen, registry_known=True, waited_s=holder.taken_age, lapse_s=LAPSE)
    if not settles and removed is not Removed.SETTLING:
        return
    done = holder.done or state[0].done
    reconciled = holder._replace(reconciled=True, done=done, stored=holder.stored or state[0].done)
    yield 'settles', _with_holder(state, number, reconciled)


def _start(state: State, number: int, holder: Holder, target: int) -> State:
    row, holders, targets, _, repeated, noted = state
    late = Late(target, holder.epoch, LEASE)
    return _with_holder(
        (row, holders, targets, late, repeated, noted), number, holder._replace(run=target)
    )


def _with_holder(state: State, number: int, holder: Holder) -> State:
    row, holders, targets, late, repeated, noted = state
    changed = tuple(holder if each == number else holders[each] for each in TARGETS)
    return (row, changed, targets, late, repeated, noted)  # type: ignore[return-value]


def _with_target(state: State, number: int, target: Target) -> State:
    row, holders, targets, late, repeated, noted = state
    changed = tuple(target if each == number else targets[each] for each in TARGETS)
    return (row, holders, changed, late, repeated, noted)  # type: ignore[return-value]
