"""Model of a move: members with old views, late heartbeats, a fenced member and racing holders.

One VM moves from the pool `crossings` to the pool `reserve`. The functions that run in production
decide whether its drain is over (`is_drained`) and what its row is after that (`finish_drain`).
"""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, NamedTuple

from minicheck import Protocol

from comfreywind.decisions.pools.drain import Drain, MemberReport, is_confirmed, is_drained
from comfreywind.decisions.pools.pool_vm import PoolVm, VmState
from comfreywind.decisions.pools.vm_steps import begin_move, cancel_drain, finish_drain
from tests.helpers.pools import make_snapshot, make_vms

FIELDS = ('rows', 'members', 'reports', 'fenced', 'limit_passed', 'confirmed', 'pending')
MEMBERS_COUNT = 2
ROWS_LIMIT = 4
RUN_LIMIT_S = 10.0
FIRST_ROW = make_vms('crossings', 1)[0]


class Member(NamedTuple):
    """The row version that a member knows, and the pool whose work it runs on the VM, if any."""

    version: int = 1
    running: str | None = None


class State(NamedTuple):
    """A state of the model; row versions count from 1.

    `reports` are the last heartbeats that the holder received. `fenced` is the index of the fenced
    member, if any; `limit_passed` tells whether the run limit has passed since. `confirmed` is the
    version of the draining row that all members have confirmed, 0 for none. `pending` is, for each
    of two processes, a decided row with the version that it was decided from.
    """

    rows: tuple[PoolVm, ...] = (FIRST_ROW,)
    members: tuple[Member, ...] = (Member(),) * MEMBERS_COUNT
    reports: tuple[Member | None, ...] = (None,) * MEMBERS_COUNT
    fenced: int | None = None
    limit_passed: bool = False
    confirmed: int = 0
    pending: tuple[tuple[int, PoolVm] | None, ...] = (None, None)


@dataclass(frozen=True, slots=True)
class MoveSwitches:
    """Protections that can be switched off, to show that the check finds the fault."""

    confirmation: bool = True
    run_limit: bool = True


def make_move_model(switches: MoveSwitches) -> Protocol:
    """Return the model with its invariant."""
    return Protocol(
        name='move',
        candidate=False,
        fields=FIELDS,
        initial=State(),
        transitions=lambda state: list(list_transitions(State(*state), switches)),
        invariants={'the VM works for its own pool only': works_for_own_pool},
    )


def works_for_own_pool(fields: dict[str, Any]) -> bool:
    """Return whether all work on the VM belongs to the pool in its row."""
    pools = {member.running for member in fields['members']} - {None}
    return pools <= {fields['rows'][-1].pool}


def list_transitions(state: State, switches: MoveSwitches) -> Iterator[tuple[str, State]]:
    """Yield all possible steps."""
    for index in range(MEMBERS_COUNT):
        yield from list_member_steps(state, index)
    yield from list_fence_steps(state)
    for process, pending in enumerate(state.pending):
        if pending is None:
            yield from list_decisions(state, process, switches)
        else:
            yield from list_commits(state, process, pending)


def list_member_steps(state: State, index: int) -> Iterator[tuple[str, State]]:
    """Yield the steps of a member: read the feed, start and end work, send a heartbeat."""
    member = state.members[index]
    if index == state.fenced:
        # A fenced member has no session, so it starts no work; the run limit ends what it runs.
        return
    if member.version < len(state.rows):
        yield f'{index} reads', set_member(state, index, member._replace(version=len(state.rows)))
    row = state.rows[member.version - 1]
    if member.running is None and row.state == VmState.ACTIVE:
        yield f'{index} starts', set_member(state, index, member._replace(running=row.pool))
    if member.running is not None:
        yield f'{index} ends', set_member(state, index, member._replace(running=None))
    reports = list(state.reports)
    reports[index] = member
    yield f'{index} reports', state._replace(reports=tuple(reports))


def list_fence_steps(state: State) -> Iterator[tuple[str, State]]:
    """Yield the fence of a member, and the end of its work when the run limit has passed."""
    if state.fenced is None:
        yield 'a member is fenced', state._replace(fenced=MEMBERS_COUNT - 1)
    elif not state.limit_passed:
        ended = set_member(state, state.fenced, Member())
        yield 'the run limit passes', ended._replace(limit_passed=True)


def list_decisions(
    state: State, process: int, switches: MoveSwitches
) -> Iterator[tuple[str, State]]:
    """Yield the decisions about the VM that a process can make."""
    row = state.rows[-1]
    if len(state.rows) >= ROWS_LIMIT:
        return
    if row.state == VmState.ACTIVE:
        target = 'reserve' if row.pool == 'crossings' else 'crossings'
        after = begin_move(row, target, 0, 'model').after
        yield f'{process} begins a move', set_pending(state, process, after)
        return
    after = cancel_drain(row, 0, 'model').after
    yield f'{process} cancels', set_pending(state, process, after)
    confirmed = record_confirmation(state, switches)
    if confirmed != state:
        yield 'all have confirmed', confirmed
    if has_drained(state, switches):
        after = finish_drain(row, make_snapshot((row,))).after
        yield f'{process} finishes the move', set_pending(state, process, after)


def list_commits(
    state: State, process: int, pending: tuple[int, PoolVm]
) -> Iterator[tuple[str, State]]:
    """Yield the commit of a decided row, which is conditional on the version of the row.

    A repeated commit needs no step of its own, because it fails on that condition.
    """
    version, row = pending
    done = set_pending(state, process, None)
    if version != len(state.rows):
        yield f'{process} gets a conflict', done
        return
    yield f'{process} commits', done._replace(rows=(*state.rows, row), confirmed=0)


def record_confirmation(state: State, switches: MoveSwitches) -> State:
    """Return the state in which the holder has recorded the confirmation, if there is one."""
    version = len(state.rows)
    if switches.confirmation and not is_confirmed(version, list_reports(state)):
        return state
    return state._replace(confirmed=version)


def has_drained(state: State, switches: MoveSwitches) -> bool:
    """Return whether the holder decides that the VM is drained."""
    reports = list_reports(state)
    if not switches.confirmation:
        # Treat each report as if it were as new as the draining row.
        version = len(state.rows)
        reports = [MemberReport(report.name, version, report.running) for report in reports]
    waits = switches.run_limit and state.fenced is not None and not state.limit_passed
    drain = Drain(
        row_sequence=len(state.rows),
        confirmed_s=0 if state.confirmed == len(state.rows) else None,
        unreported_until_s=RUN_LIMIT_S if waits else 0,
        run_limit_s=RUN_LIMIT_S,
    )
    return is_drained(drain, reports, now_s=1)


def list_reports(state: State) -> list[MemberReport]:
    """Return the last report of each member that is not fenced."""
    return [
        MemberReport(str(index), None, None)
        if report is None
        else MemberReport(str(index), report.version, int(report.running is not None))
        for index, report in enumerate(state.reports)
        if index != state.fenced
    ]


def set_member(state: State, index: int, member: Member) -> State:
    """Return the state with the member at the index replaced."""
    members = list(state.members)
    members[index] = member
    return state._replace(members=tuple(members))


def set_pending(state: State, process: int, row: PoolVm | None) -> State:
    """Return the state with the decided row of a process replaced, or removed if `row` is None."""
    pending = list(state.pending)
    pending[process] = None if row is None else (len(state.rows), row)
    return state._replace(pending=tuple(pending))
