"""Model of sessions, promises and fences for the model checker.

A holder H has the only unit of a ceiling. A peer P can grant it promises. The fencer R fences it,
reclaims the unit and uses it. After P was killed, a joiner Q may take its place at any time and
grant promises as well. A store outage and a late or lost message need no steps of their own, since
no step is ever forced. Every decision is taken by the functions that run in production. The time is
always `NOW`; a tick moves all deadlines back instead, so that the number of states is finite.
"""

import enum
from collections.abc import Iterator
from dataclasses import replace
from typing import NamedTuple

from minicheck import Protocol

from comfreywind.decisions.portions.fence_case import (
    FenceAttempt,
    add_agreement,
    is_expired,
    list_missing_members,
)
from comfreywind.decisions.portions.guard import SessionState, is_session_valid
from comfreywind.decisions.portions.guard_step import apply_session_event
from comfreywind.decisions.portions.portion_row import PortionRow
from comfreywind.decisions.portions.row_changes import (
    allocate_free_units,
    finish_reclaim,
    settle_holder,
)
from comfreywind.decisions.portions.session_effects import AgreeToFence, GrantPromise
from comfreywind.decisions.portions.session_events import (
    FenceObserved,
    FenceRequested,
    PromiseReceived,
    PromiseRequested,
    RenewalConfirmed,
    RenewalObserved,
    SessionEvent,
)
from comfreywind.decisions.portions.session_timing import SessionTiming

NOW = 10
MAX_RUN = 1
HOLDER, PEER, FENCER, JOINER = 'h@1', 'p@1', 'r@1', 'q@1'
ALWAYS = 1000


class Removed(enum.Enum):
    """A protection that the model leaves out, to show that the checker finds the fault."""

    NOTHING = 'nothing'
    FENCE = 'the fence against a frozen holder'
    EXPIRY_WAIT = 'the wait for the end of the session'
    AGREEMENTS = 'the agreement of the other members'
    ROW_CONDITION = "the condition on the version of the holder's row"
    EXCUSE_WAIT = 'the wait after a member was proven dead'
    MAX_RUN_WAIT = 'the wait for the longest run'
    START_BEFORE = 'the start limit that the target checks'
    JOINER_READ = 'the read of the members that a new member needs to give promises'
    JOINER_SILENCE = 'the silence of a new member that may have had a predecessor'
    VIEW_CONDITION = 'the condition on the version of the view of members'


class Setup(NamedTuple):
    """The protection that is left out, whether Q joins, and the maximum number of renewals.

    Q replaces the row of P, as a new process of the same name does. P's agreement is then not
    needed any more.
    """

    removed: Removed = Removed.NOTHING
    with_joiner: bool = False
    renewals_limit: int = 2


class FenceState(NamedTuple):
    """State of all processes, of the messages on their way and of the store.

    None means that there is no such message or event. `peer` is the session state of P, and that of
    Q after Q has joined. `renewal_sent` and `fence_sent` are writes on their way to the store.
    `send_before_s` is the start limit of work on its way to the target.
    """

    holder: SessionState
    peer: SessionState
    fencer: SessionState
    holder_awake: bool = True
    holder_alive: bool = True
    peer_alive: bool = True
    renewal_sent: tuple[int, int] | None = None
    grant_requested_s: int | None = None
    send_before_s: int | None = None
    holder_runs: int = 0
    fencer_runs: int = 0
    member_renewal: int = 1
    member_fenced: bool = False
    row: PortionRow = PortionRow(1, 1, recorded=((HOLDER, 1),))
    fence_attempt: FenceAttempt = FenceAttempt(HOLDER, 1, NOW)
    dead_seen_s: int | None = None
    joined: bool = False
    joiner_view: str = ''
    fencer_sees_joiner: bool = False
    fence_sent: tuple[int, bool] | None = None
    reclaim_seen_s: int | None = None


Step = tuple[str, FenceState]


def make_fence_protocol(ttl: int, setup: Setup = Setup()) -> Protocol:
    """Return the model with a time to live of `ttl` ticks."""
    return Protocol(
        name=f'fence without {setup.removed.value}',
        candidate=False,
        fields=FenceState._fields,
        initial=make_initial_state(ttl),
        transitions=lambda state: list(list_steps(FenceState(*state), setup)),
        invariants={
            'running work never exceeds the ceiling': lambda state: (
                state['holder_runs'] + state['fencer_runs'] <= 1
            ),
            'no unit is counted twice': lambda state: 0 <= state['row'].free_units,
        },
        goal=is_unit_usable,
    )


def make_initial_state(ttl: int) -> FenceState:
    """Return the state in which H, P and R are members and the holder has just renewed."""
    timing = SessionTiming(ttl_s=ttl, drift_ratio=0)
    holder = SessionState(
        HOLDER, timing, silent_until_s=0, valid_until_s=NOW + ttl, renewal_number=1
    )
    peer = SessionState(PEER, timing, silent_until_s=0, valid_until_s=ALWAYS)
    return FenceState(holder, peer, replace(peer, holder=FENCER))


def is_unit_usable(state: dict[str, object]) -> bool:
    """Return whether an entry that can work holds the unit and may start work on it."""
    recorded = dict(state['row'].recorded)
    if FENCER in recorded:
        return state['fencer_runs'] == 0
    at_work = state['holder_alive'] and state['holder_awake'] and not state['holder_runs']
    return HOLDER in recorded and at_work and is_session_valid(state['holder'], NOW)


def list_steps(state: FenceState, setup: Setup) -> Iterator[Step]:
    """Yield all steps and faults that are possible."""
    yield 'tick', _tick(state)
    yield from _list_faults(state)
    if state.holder_alive and state.holder_awake:
        yield from _list_holder_steps(state, setup)
    if state.peer_alive or state.joined:
        yield from _list_peer_steps(state, setup)
    yield from _list_joiner_steps(state, setup)
    yield from _list_store_steps(state, setup)
    yield from _list_target_steps(state, setup)
    yield from _list_fencer_steps(state, setup)


def _list_faults(state: FenceState) -> Iterator[Step]:
    if state.holder_alive:
        yield 'freeze or wake holder', state._replace(holder_awake=not state.holder_awake)
        yield 'kill holder', _kill_holder(state)
    if state.peer_alive:
        yield 'kill peer', state._replace(peer_alive=False, dead_seen_s=NOW)
    if state.grant_requested_s is not None:
        yield 'lose the promise', state._replace(grant_requested_s=None)


def _kill_holder(state: FenceState) -> FenceState:
    holder = replace(state.holder, valid_until_s=NOW - 1, renewal_number=0)
    return state._replace(
        holder=holder, holder_alive=False, holder_awake=True, grant_requested_s=None
    )


def _list_holder_steps(state: FenceState, setup: Setup) -> Iterator[Step]:
    session_state = state.holder
    if (
        state.renewal_sent is None
        and session_state.renewal_number < setup.renewals_limit
        and not session_state.fenced
    ):
        renewal_sent = (session_state.renewal_number + 1, NOW)
        yield 'holder sends renewal', state._replace(renewal_sent=renewal_sent)
    if state.member_fenced and not session_state.fenced:
        yield (
            'holder sees fence',
            state._replace(holder=_apply_event(FenceObserved(), session_state)),
        )
    if state.renewal_sent and state.renewal_sent[0] == state.member_renewal:
        confirmed = RenewalConfirmed(state.renewal_sent[1], state.renewal_sent[0])
        yield (
            'holder gets reply or reads the row',
            state._replace(holder=_apply_event(confirmed, session_state), renewal_sent=None),
        )
    if state.grant_requested_s is not None:
        received = PromiseReceived(state.grant_requested_s)
        yield (
            'holder gets promise',
            state._replace(holder=_apply_event(received, session_state), grant_requested_s=None),
        )
    yield from _list_work_steps(state)


def _list_work_steps(state: FenceState) -> Iterator[Step]:
    idle = state.holder_runs == 0 and state.send_before_s is None
    if idle and is_session_valid(state.holder, NOW):
        yield 'holder checks session', state._replace(send_before_s=int(state.holder.valid_until_s))


def _list_target_steps(state: FenceState, setup: Setup) -> Iterator[Step]:
    if state.send_before_s is None:
        return
    sent = state._replace(send_before_s=None)
    if state.send_before_s >= NOW or setup.removed is Removed.START_BEFORE:
        yield 'target starts work of holder', sent._replace(holder_runs=MAX_RUN)
    else:
        yield 'target refuses work of holder', sent


def _list_joiner_steps(state: FenceState, setup: Setup) -> Iterator[Step]:
    if setup.with_joiner and not state.peer_alive and not state.joined:
        timing = state.fencer.timing
        silent_until_s = NOW + int(timing.ttl_s)
        if setup.removed is Removed.JOINER_SILENCE:
            silent_until_s = NOW
        joiner = SessionState(JOINER, timing, silent_until_s=silent_until_s, valid_until_s=ALWAYS)
        yield 'new member joins', state._replace(joined=True, peer=joiner)
    if not state.joined:
        return
    current_view = 'fenced' if state.member_fenced else 'live'
    if state.joiner_view != current_view:
        yield 'new member reads the members', state._replace(joiner_view=current_view)
    if not state.fencer_sees_joiner:
        yield 'fencer sees new member', state._replace(fencer_sees_joiner=True)


def _list_peer_steps(state: FenceState, setup: Setup) -> Iterator[Step]:
    if state.holder_alive and state.holder_awake:
        is_member = not state.joined or state.joiner_view == 'live'
        if setup.removed is Removed.JOINER_READ:
            is_member = True
        asked = PromiseRequested(HOLDER, state.holder.renewal_number, NOW, is_member)
        session_state, effects = apply_session_event(asked, state.peer)
        if effects == (GrantPromise(HOLDER),):
            yield 'peer grants promise', state._replace(peer=session_state, grant_requested_s=NOW)
    seen = RenewalObserved(HOLDER, state.member_renewal)
    if _apply_event(seen, state.peer) != state.peer:
        yield 'peer sees renewal', state._replace(peer=_apply_event(seen, state.peer))
    query = FenceRequested(HOLDER, state.fence_attempt.renewal_number, NOW)
    session_state, effects = apply_session_event(query, state.peer)
    if not effects or state.member_fenced:
        return
    yield 'peer agrees, its reply is lost', state._replace(peer=session_state)
    yield (
        'peer agrees',
        state._replace(
            peer=session_state,
            fence_attempt=_add_member_agreement(state.fence_attempt, session_state.holder),
        ),
    )


def _list_store_steps(state: FenceState, setup: Setup) -> Iterator[Step]:
    pending = state.renewal_sent is not None and state.renewal_sent[0] > state.member_renewal
    if pending and not state.member_fenced:
        yield 'store applies renewal', state._replace(member_renewal=state.renewal_sent[0])
    if state.fence_sent is None:
        return
    renewal, saw_joiner = state.fence_sent
    renewed = renewal != state.member_renewal and setup.removed is not Removed.ROW_CONDITION
    joined = saw_joiner != state.joined and setup.removed is not Removed.VIEW_CONDITION
    if renewed or joined:
        yield 'store refuses fence', state._replace(fence_sent=None)
        return
    yield (
        'store applies fence',
        _clear_fence_attempt(state._replace(fence_sent=None, member_fenced=True)),
    )


def _clear_fence_attempt(state: FenceState) -> FenceState:
    """Clear the fields that have no effect after the fence, to reduce the number of states."""
    timing = state.fencer.timing
    fence_attempt = FenceAttempt(HOLDER, 0, NOW - int(timing.ttl_s))
    fencer = SessionState(FENCER, timing, silent_until_s=0, valid_until_s=ALWAYS)
    return state._replace(fence_attempt=fence_attempt, fencer=fencer, dead_seen_s=None)


def _list_fencer_steps(state: FenceState, setup: Setup) -> Iterator[Step]:
    query = FenceRequested(HOLDER, state.fence_attempt.renewal_number, NOW)
    session_state, effects = apply_session_event(query, state.fencer)
    if effects and not state.member_fenced:
        yield (
            'fencer agrees',
            state._replace(
                fencer=session_state,
                fence_attempt=_add_member_agreement(state.fence_attempt, FENCER),
            ),
        )
    if state.holder_alive and state.holder_awake:
        asked = PromiseRequested(HOLDER, state.holder.renewal_number, NOW, not state.member_fenced)
        session_state, grants = apply_session_event(asked, state.fencer)
        if grants == (GrantPromise(HOLDER),):
            yield (
                'fencer grants promise',
                state._replace(fencer=session_state, grant_requested_s=NOW),
            )
    if state.member_renewal != state.fence_attempt.renewal_number and not state.member_fenced:
        seen = RenewalObserved(HOLDER, state.member_renewal)
        yield (
            'fencer sees renewal',
            state._replace(
                fencer=_apply_event(seen, state.fencer),
                fence_attempt=FenceAttempt(HOLDER, state.member_renewal, NOW),
            ),
        )
    elif _may_fence(state, setup):
        yield (
            'fencer sends fence',
            state._replace(
                fence_sent=(state.fence_attempt.renewal_number, state.fencer_sees_joiner)
            ),
        )
    yield from _list_reclaim_steps(state, setup)


def _may_fence(state: FenceState, setup: Setup) -> bool:
    if state.member_fenced or state.fence_sent is not None:
        return False
    if setup.removed is not Removed.EXPIRY_WAIT and not is_expired(
        state.fence_attempt, state.fencer.timing, NOW
    ):
        return False
    if setup.removed is Removed.AGREEMENTS:
        return True
    members = {HOLDER, FENCER, JOINER if state.fencer_sees_joiner else PEER}
    if state.dead_seen_s is not None:
        waited = NOW >= state.dead_seen_s + state.fencer.timing.observed_ttl_s
        if waited or setup.removed is Removed.EXCUSE_WAIT:
            members.discard(PEER)
    return not list_missing_members(state.fence_attempt, frozenset(members))


def _list_reclaim_steps(state: FenceState, setup: Setup) -> Iterator[Step]:
    recorded = dict(state.row.recorded)
    gone = state.member_fenced
    if setup.removed is Removed.FENCE:
        # Without the fence, the holder's units are reclaimed as soon as its time to live has passed
        # without a renewal.
        gone = is_expired(state.fence_attempt, state.fencer.timing, NOW)
    if HOLDER in recorded and gone:
        wait_s = 0 if setup.removed is Removed.MAX_RUN_WAIT else MAX_RUN
        row = settle_holder(state.row, HOLDER, (), wait_s)
        yield 'fencer settles holder', state._replace(row=row, reclaim_seen_s=NOW)
    for reclaim in state.row.reclaiming:
        if NOW >= state.reclaim_seen_s + reclaim.wait_s:
            row = finish_reclaim(state.row, reclaim)
            yield 'fencer ends reclaim', state._replace(row=row, reclaim_seen_s=None)
    if state.row.free_units > 0:
        yield 'fencer takes unit', state._replace(row=allocate_free_units(state.row, FENCER, 1))
    if FENCER in recorded and state.fencer_runs == 0:
        yield 'fencer starts work', state._replace(fencer_runs=MAX_RUN)


def _tick(state: FenceState) -> FenceState:
    ttl_start_s = NOW - int(state.fencer.timing.ttl_s)
    renewal_sent = state.renewal_sent
    if renewal_sent is not None:
        renewal_sent = (renewal_sent[0], max(renewal_sent[1] - 1, ttl_start_s))
    return state._replace(
        holder=_age_guard(state.holder),
        peer=_age_guard(state.peer),
        fencer=_age_guard(state.fencer),
        renewal_sent=renewal_sent,
        grant_requested_s=_age(state.grant_requested_s, ttl_start_s),
        send_before_s=_age(state.send_before_s, NOW - 1),
        holder_runs=max(0, state.holder_runs - 1),
        fencer_runs=max(0, state.fencer_runs - 1),
        fence_attempt=replace(
            state.fence_attempt, first_seen_s=_age(state.fence_attempt.first_seen_s, ttl_start_s)
        ),
        dead_seen_s=_age(state.dead_seen_s, ttl_start_s),
        reclaim_seen_s=_age(state.reclaim_seen_s, NOW - MAX_RUN),
    )


def _age(time_s: int | None, lowest_s: int) -> int | None:
    return None if time_s is None else max(int(time_s) - 1, lowest_s)


def _age_guard(session_state: SessionState) -> SessionState:
    granted = tuple((name, until - 1) for name, until in session_state.granted if until - 1 > NOW)
    until_s = session_state.valid_until_s
    if until_s < ALWAYS:
        until_s = max(until_s - 1, NOW - 1)
    silent_until_s = max(
        session_state.silent_until_s - 1, 0 if session_state.silent_until_s == 0 else NOW
    )
    return replace(
        session_state, valid_until_s=until_s, granted=granted, silent_until_s=silent_until_s
    )


def _apply_event(event: SessionEvent, session_state: SessionState) -> SessionState:
    return apply_session_event(event, session_state)[0]


def _add_member_agreement(fence_attempt: FenceAttempt, member: str) -> FenceAttempt:
    agreement = AgreeToFence(HOLDER, fence_attempt.renewal_number)
    return add_agreement(fence_attempt, agreement.renewal_number, (member, ()))
