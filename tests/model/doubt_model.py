"""Model of a target in doubt: one task, a target that crashes, comes back and is cut off, late orders.

The task is started on the target, and elsewhere when the holder takes that for safe; a run elsewhere
never ends. An order without a reply is carried out late, or never. The holder may change at any
moment; a list of VMs may be as old as a tick. The decisions are those used in production, at a tick
of 3 s: a lease takes two ticks, and an order arrives four ticks late at most.
"""

import enum
from collections.abc import Iterator
from typing import NamedTuple

from minicheck import Protocol

from comfreywind.decisions.scheduling.handover import may_reconcile
from comfreywind.decisions.scheduling.open_start import (
    CLOCK_DRIFT_RATIO,
    MARGIN_S,
    ORDER_DELAY_LIMIT_S,
    OpenStart,
    compute_longest_lease_s,
)
from comfreywind.decisions.scheduling.target_doubt import TargetDoubt

TICK_S = 3.0
LEASE = 2
# The limit with which the longest lease on the holder's clock takes just that many ticks.
LEASE_LIMIT_S = (LEASE * TICK_S - MARGIN_S) / CLOCK_DRIFT_RATIO
DELAY = int(ORDER_DELAY_LIMIT_S / TICK_S)
OLDEST = DELAY + LEASE
LAST_INCARNATION = 2
LAST_FENCE = 3
LAST_RUN = 1
# A list is read just after what is known was heard.
READ_S = 0.1


class Removed(enum.Enum):
    """A protection that is left out, to check that the model then finds the fault."""

    NOTHING = enum.auto()
    OPEN_WHILE_VM_IS_DOWN = enum.auto()
    LIST_MUST_HAVE_SHOWN_LIVE = enum.auto()
    OPEN_WHILE_IN_DOUBT = enum.auto()
    RAISED_FENCE = enum.auto()
    OPEN_START = enum.auto()
    STORED_OPEN_STARTS = enum.auto()


class Target(NamedTuple):
    """A target, with its lease in ticks; `was_down` tells that it was down within this tick.

    `active` is the run that is there, `ended` the latest that has ended in this incarnation, or 0.
    """

    incarnation: int = 1
    up: bool = True
    fence: int = 1
    active: int = 0
    ended: int = 0
    lease: int = 0
    was_down: bool = False


class Late(NamedTuple):
    """An order on its way, its age in ticks, and the incarnation whose clock it tells.

    `run` is the run that it starts, or 0 for an extension.
    """

    fence: int
    incarnation: int
    run: int = 0
    age: int = 0


class Holder(NamedTuple):
    """What the holder knows.

    `clocked` tells whether the target's clock is known, without which no lease is extended. `lease` is the ticks until the known lease ends, `ordered` the age of the last order for a lease,
    `settled_age` how long ago the target was settled, `confirmed` the incarnation that has shown the run, and
    `open_age` the age of the open starts, and `open_runs` their runs. `runs` counts the runs ordered, and
    `run` is the one under way, or 0. `waited` is the ticks since the takeover.
    """

    fence: int = 1
    incarnation: int = 1
    settled: bool = True
    restarted: bool = False
    silent: bool = False
    clocked: bool = True
    seen_live: bool = False
    lease: int = 0
    ordered: int = OLDEST
    settled_age: int = 2
    runs: int = 0
    run: int = 0
    confirmed: int = 0
    open_runs: frozenset[int] = frozenset()
    open_age: int = OLDEST
    sent_age: int = OLDEST
    stored: bool = True
    reconciled: bool = True
    waited: int = 2


class State(NamedTuple):
    """The whole state; `elsewhere` tells that the task runs on another target."""

    target: Target = Target()
    holder: Holder = Holder()
    start: Late | None = None
    extension: Late | None = None
    elsewhere: bool = False


Move = tuple[str, State]


def make_doubt_protocol(removed: Removed = Removed.NOTHING) -> Protocol:
    """Return the protocol; the target is settled and the task was not started."""
    return Protocol(
        name='target in doubt',
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=lambda state: list(_list_moves(State(*state), removed)),
        invariants={
            'one run at a time': lambda state: not (state['target'].active and state['elsewhere'])
        },
        goal=lambda state: state['elsewhere'] or state['target'].active > 0,
    )


def _list_moves(state: State, removed: Removed) -> Iterator[Move]:
    if state.holder.fence > LAST_FENCE:
        return
    yield from _list_ticks(state, removed)
    yield from _list_target_moves(state)
    yield from _list_deliveries(state, removed)
    if state.elsewhere:
        return
    yield from _list_calls(state, removed)
    yield from _list_reads(state, removed)
    yield from _list_decisions(state, removed)
    if state.holder.stored or removed is Removed.STORED_OPEN_STARTS:
        yield 'takeover', _take_over(state)


def _list_ticks(state: State, removed: Removed) -> Iterator[Move]:
    """List the passing of a tick, with and without an order that arrives at the latest moment."""
    ticked = _tick(state)
    yield 'tick', ticked
    for name in ('start', 'extension'):
        late: Late | None = getattr(state, name)
        if late is not None and late.age == DELAY - 1 and ticked.target.up:
            last = late._replace(age=DELAY)
            carried = _carry_out(ticked.target, last, removed)
            yield f'tick, last moment of late {name}', ticked._replace(target=carried)


def _tick(state: State) -> State:
    target, holder = state.target, state.holder
    lease = max(target.lease - 1, 0)
    aged = target._replace(lease=lease, was_down=not target.up)
    if not lease:
        aged = aged._replace(active=0, ended=max(target.active, target.ended))
    older = holder._replace(
        lease=max(holder.lease - 1, 0),
        ordered=min(holder.ordered + 1, OLDEST),
        settled_age=min(holder.settled_age + 1, 2),
        open_age=min(holder.open_age + 1, OLDEST),
        sent_age=min(holder.sent_age + 1, OLDEST),
        waited=min(holder.waited + 1, 2),
    )
    return state._replace(
        target=aged, holder=older, start=_age(state.start), extension=_age(state.extension)
    )


def _age(late: Late | None) -> Late | None:
    arrives_later = late is not None and late.age < DELAY - 1
    return late._replace(age=late.age + 1) if late is not None and arrives_later else None


def _list_target_moves(state: State) -> Iterator[Move]:
    target = state.target
    if target.up:
        down = Target(target.incarnation, up=False, fence=0, was_down=True)
        yield 'crash', state._replace(target=down)
    elif target.incarnation < LAST_INCARNATION:
        born = target._replace(up=True, incarnation=target.incarnation + 1)
        yield 'back', state._replace(target=born)


def _list_deliveries(state: State, removed: Removed) -> Iterator[Move]:
    for name in ('start', 'extension'):
        late: Late | None = getattr(state, name)
        if late is not None and state.target.up:
            carried = _carry_out(state.target, late, removed)
            yield f'late {name}', state._replace(target=carried, **{name: None})
    if state.start is not None and state.target.up and state.start.run == state.holder.run:
        carried = _carry_out(state.target, state.start, removed)
        if not state.start.age and carried.active == state.holder.run:
            replied = _apply_reply(state.holder, carried, removed)
            yield 'start with reply', state._replace(target=carried, holder=replied, start=None)


def _carry_out(target: Target, late: Late, removed: Removed) -> Target:
    if late.fence < target.fence and removed is not Removed.RAISED_FENCE:
        return target
    known_clock = late.incarnation == target.incarnation
    lease = max(LEASE - late.age, 0) if known_clock else LEASE
    lease = max(target.lease, lease)
    carried = target._replace(fence=max(target.fence, late.fence), lease=lease)
    starts = lease and not target.active and late.run > target.ended
    return carried._replace(active=late.run) if starts else carried


def _list_calls(state: State, removed: Removed) -> Iterator[Move]:
    holder, reachable = state.holder, state.target.up
    order = Late(holder.fence, holder.incarnation)
    if _may_start(state):
        run = holder.runs + 1
        ordered = _record_order(holder)._replace(runs=run, run=run, confirmed=0)
        if reachable and holder.fence >= state.target.fence:
            carried = _carry_out(state.target, order._replace(run=run), removed)
            replied = _apply_reply(ordered, carried, removed)
            yield 'start', state._replace(target=carried, holder=replied)
        if state.start is None:
            opened = _open(ordered, run, 0, removed)._replace(sent_age=0)
            yield (
                'start without reply',
                state._replace(holder=opened, start=order._replace(run=run)),
            )
    if reachable and holder.fence >= state.target.fence:
        extended = _record_order(holder) if _may_extend(holder) else holder
        carried = state.target._replace(fence=holder.fence)
        if extended is not holder:
            carried = _carry_out(state.target, order, removed)
        reported = _apply_report(extended, carried, removed)
        yield 'poll', state._replace(target=carried, holder=reported)
    if not holder.silent and state.extension is None:
        yield 'poll without reply', _poll_without_reply(state, order)


def _may_extend(holder: Holder) -> bool:
    return holder.clocked and not holder.silent


def _poll_without_reply(state: State, order: Late) -> State:
    holder = state.holder
    extends = _may_extend(holder)
    silent = (_record_order(holder) if extends else holder)._replace(silent=True)
    if silent.open_runs:
        silent = silent._replace(open_age=0)
    return state._replace(holder=silent, extension=order if extends else None)


def _may_start(state: State) -> bool:
    holder = state.holder
    free = not (holder.run or state.elsewhere) and holder.runs < LAST_RUN
    return free and holder.settled and not holder.silent and holder.reconciled


def _record_order(holder: Holder) -> Holder:
    return holder._replace(lease=max(holder.lease, LEASE), ordered=0)


def _apply_reply(holder: Holder, target: Target, removed: Removed) -> Holder:
    """Apply the reply to a start, which tells the incarnation of the target."""
    if target.active != holder.run:
        return _close(holder)._replace(run=0)
    confirmed = holder._replace(confirmed=target.incarnation)
    is_present = target.incarnation == holder.incarnation
    if is_present and (holder.settled or removed is Removed.OPEN_WHILE_IN_DOUBT):
        return _close(confirmed)
    opened = _open(confirmed, holder.run, 0, removed)
    if is_present or not holder.settled:
        return opened
    return _save(opened, _raise_fence(_load(confirmed)))


def _apply_report(holder: Holder, target: Target, removed: Removed) -> Holder:
    """Apply the report of a poll with the holder's fence."""
    fence, doubt = holder.fence, _load(holder)
    if target.incarnation > holder.incarnation:
        doubt.begin_incarnation(target.incarnation)
    heard = _save(holder, doubt)._replace(silent=False, clocked=True)
    if target.active:
        heard = heard._replace(run=target.active, confirmed=target.incarnation)
    if heard.settled:
        return _apply_settled_report(heard, target)
    if heard.run:
        doubt.record_runs(fence, 0, LEASE_LIMIT_S)
    if fence < doubt.fence:
        heard = _save(heard, doubt)._replace(clocked=True)
        doubted = removed is not Removed.OPEN_WHILE_IN_DOUBT
        return _open(heard, target.active, 0, removed) if target.active and doubted else heard
    doubt.settle(0)
    return _apply_settled_report(_save(heard, doubt), target)


def _apply_settled_report(holder: Holder, target: Target) -> Holder:
    """Apply a report that shows for certain what runs on the target."""
    known = holder._replace(reconciled=True)
    if target.active:
        return _close(known)
    if known.confirmed:
        known = _close(known)
    if OpenStart('', -known.sent_age * TICK_S, 0).is_settled_by(0):
        known = known._replace(open_runs=frozenset(), stored=True)
    return known._replace(run=0, confirmed=0)


def _list_reads(state: State, removed: Removed) -> Iterator[Move]:
    """List reads of the registration and of the list of VMs."""
    target, holder = state.target, state.holder
    if target.up and target.incarnation > holder.incarnation:
        doubt = _load(holder)
        doubt.begin_incarnation(target.incarnation)
        yield 'registration', state._replace(holder=_save(holder, doubt))
    if target.up:
        doubt = _load(holder)
        doubt.record_list(True, READ_S)
        yield 'list shows up', state._replace(holder=_save(holder, doubt))
    if target.was_down and holder.silent:
        yield 'list shows down', state._replace(holder=_apply_down(holder, removed))


def _apply_down(holder: Holder, removed: Removed) -> Holder:
    doubt = _load(holder)
    ended = doubt.is_ended_by_list(READ_S, 0)
    if removed is Removed.LIST_MUST_HAVE_SHOWN_LIVE:
        ended = True
    if holder.run and ended:
        holder = _drop_run(holder, removed)
    if removed is Removed.OPEN_WHILE_VM_IS_DOWN:
        holder = holder._replace(open_runs=frozenset())
    return holder


def _list_decisions(state: State, removed: Removed) -> Iterator[Move]:
    holder = state.holder
    if holder.run and holder.silent and not holder.lease:
        yield 'lapse', state._replace(holder=_drop_run(holder, removed))
    longest_s = compute_longest_lease_s(LEASE_LIMIT_S)
    waits = not holder.reconciled
    if waits and may_reconcile(
        1, registry_known=True, waited_s=holder.waited * TICK_S, lapse_s=longest_s
    ):
        yield 'settles by time', state._replace(holder=holder._replace(reconciled=True))
    if not holder.stored:
        yield 'stores', state._replace(holder=holder._replace(stored=True))
    if holder.run or not holder.reconciled:
        return
    opened_s = -holder.open_age * TICK_S
    opened = OpenStart('', opened_s, opened_s, set(holder.open_runs))
    if not opened.is_open(0, LEASE_LIMIT_S):
        # Nothing that the holder does from now on starts a run on the target.
        yield 'starts elsewhere', state._replace(elsewhere=True, holder=Holder())


def _drop_run(holder: Holder, removed: Removed) -> Holder:
    doubt = _load(holder)
    if doubt.may_extend(holder.confirmed):
        if removed is not Removed.OPEN_WHILE_IN_DOUBT:
            holder = _open(holder, holder.run, holder.ordered, removed)
    elif holder.confirmed:
        holder = _close(holder)
    if doubt.settled:
        _raise_fence(doubt)
    return _save(holder, doubt)._replace(run=0, confirmed=0)


def _take_over(state: State) -> State:
    """Return the state with a new holder, which knows the registration and the stored row."""
    old = state.holder
    opened = old.open_runs if old.stored else frozenset()
    new = Holder(
        fence=old.fence + 1,
        incarnation=old.incarnation,
        settled=False,
        clocked=False,
        runs=old.runs,
        open_runs=opened,
        open_age=0,
        sent_age=0,
        reconciled=False,
        waited=0,
    )
    return state._replace(holder=new)


def _open(holder: Holder, run: int, age: int, removed: Removed) -> Holder:
    if removed is Removed.OPEN_START:
        return holder
    known_age = holder.open_age if holder.open_runs else OLDEST
    stored = holder.stored and run in holder.open_runs
    return holder._replace(
        open_runs=holder.open_runs | {run}, open_age=min(known_age, age), stored=stored
    )


def _close(holder: Holder) -> Holder:
    """Return the holder once it is known what became of the order of its run."""
    return holder._replace(open_runs=holder.open_runs - {holder.run}, stored=True)


def _load(holder: Holder) -> TargetDoubt:
    return TargetDoubt(
        fence=holder.fence,
        incarnation_start_ms=holder.incarnation,
        settled=holder.settled,
        restarted=holder.restarted,
        lease_end_s=holder.lease * TICK_S,
        ordered_s=-holder.ordered * TICK_S,
        settled_s=-holder.settled_age * TICK_S,
        seen_live=holder.seen_live,
    )


def _save(holder: Holder, doubt: TargetDoubt) -> Holder:
    return holder._replace(
        fence=doubt.fence,
        incarnation=doubt.incarnation_start_ms,
        settled=doubt.settled,
        clocked=holder.clocked and doubt.fence == holder.fence,
        restarted=doubt.restarted,
        lease=round(doubt.lease_end_s / TICK_S),
        settled_age=min(round(-doubt.settled_s / TICK_S), 2),
        seen_live=doubt.seen_live,
    )


def _raise_fence(doubt: TargetDoubt) -> TargetDoubt:
    doubt.raise_fence()
    return doubt
