"""Model of a maintenance wave: two racing holders, lost replies, failures and late reboot calls.

The state consists of the row and the true state of each VM, of the holder in the control row and,
for each of two processes, of the transaction and the reboot call that it has decided but not yet
sent. The transactions are decided by `plan_pool`, the function that runs in production. The pool
has three VMs of its own and a borrowed one, which it returns while no VM is due for maintenance.
The VMs may become due at any time.
"""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from functools import lru_cache
from typing import Any, NamedTuple

from minicheck import Protocol

from comfreywind.decisions.pools.budget import compute_budget
from comfreywind.decisions.pools.pool_plan import plan_pool
from comfreywind.decisions.pools.pool_vm import PoolVm, VmState
from tests.helpers.pools import NOW_S, POLICY, make_health, make_snapshot, make_vms

VMS_COUNT = 4
BORROWED_INDEX = 3
MODEL_POLICY = replace(POLICY, minimum_available_ratio=2 / 3, tolerate='rack', suspect_s=0)
FIELDS = ('vms', 'due', 'failed', 'failures_left', 'holder', 'processes', 'late_stop')


class ModelVm(NamedTuple):
    """A VM's row and its true incarnation.

    `maintained` tells that it was rebooted in this wave, `moves` that it is to move to its home
    pool and `returned` that it is there.
    """

    state: VmState = VmState.ACTIVE
    row_incarnation: int = 1
    incarnation: int = 1
    maintained: bool = False
    moves: bool = False
    returned: bool = False


class Pending(NamedTuple):
    """The transaction and the reboot call that a process has decided and not yet sent.

    `writes` are rows with their VM indexes; `reboot` is a VM index and the incarnation to replace.
    The writes are dropped as soon as a condition of the transaction no longer holds, since the
    transaction would then fail.
    """

    writes: tuple[tuple[int, ModelVm], ...] = ()
    reboot: tuple[int, int] | None = None


class State(NamedTuple):
    """A state of the model.

    `failed` is the index of the VM that has failed, if any, `holder` that of the process in the
    control row. `late_stop` tells that a reboot call has stopped a working VM.
    """

    vms: tuple[ModelVm, ...] = (ModelVm(),) * VMS_COUNT
    due: bool = False
    failed: int | None = None
    failures_left: int = 2
    holder: int = 0
    processes: tuple[Pending, ...] = (Pending(), Pending())
    late_stop: bool = False


@dataclass(frozen=True, slots=True)
class WaveSwitches:
    """Protections that can be switched off, to show that the check finds the fault."""

    fencing: bool = True
    conditional_reboot: bool = True


def make_wave_model(switches: WaveSwitches) -> Protocol:
    """Return the model with its invariants."""
    return Protocol(
        name='wave',
        candidate=False,
        fields=FIELDS,
        initial=State(),
        transitions=lambda state: list(list_transitions(State(*state), switches)),
        invariants={
            'the budget holds with one failure': has_enough_available,
            'no reboot stops a working VM': lambda fields: not fields['late_stop'],
        },
    )


def has_enough_available(fields: dict[str, Any]) -> bool:
    """Return whether the required VMs are truly available."""
    available = sum(
        vm.state == VmState.ACTIVE and not vm.returned and index != fields['failed']
        for index, vm in enumerate(fields['vms'])
    )
    rows = list_own(make_rows(fields['vms'], due=True))
    return bool(available >= compute_budget(rows, (), MODEL_POLICY).required)


def list_transitions(state: State, switches: WaveSwitches) -> Iterator[tuple[str, State]]:
    """Yield all possible steps."""
    yield from list_failures(state)
    if not state.due:
        yield 'the VMs become due', state._replace(due=True)
    for process in range(len(state.processes)):
        if process != state.holder:
            yield f'{process} takes the lapsed lease', change_holder(state, process, switches)
        else:
            yield from list_decisions(state, process)
        yield from list_commits(state, process, switches)
        yield from list_reboots(state, process, switches)


def list_failures(state: State) -> Iterator[tuple[str, State]]:
    """Yield failures of one VM at a time, which is the loss that the pool tolerates.

    A failure ends only when no row is suspect any more: a VM that works again but is suspect is
    still unavailable, so another failure at that time would be a second loss.
    """
    if state.failed is not None:
        yield 'the VM works again', state._replace(failed=None)
    elif state.failures_left and not has_suspicion(state):
        for index in range(VMS_COUNT):
            left = state.failures_left - 1
            yield f'VM {index} fails', state._replace(failed=index, failures_left=left)


def has_suspicion(state: State) -> bool:
    """Return whether a VM is suspect or a pending transaction would make one suspect."""
    pending = (row for process in state.processes for _, row in process.writes)
    return any(vm.state == VmState.SUSPECT for vm in (*state.vms, *pending))


def change_holder(state: State, process: int, switches: WaveSwitches) -> State:
    """Return the state after a process became the holder, which is a write to the control row."""
    processes = state.processes
    if switches.fencing:
        processes = tuple(pending._replace(writes=()) for pending in processes)
    return state._replace(holder=process, processes=processes)


def list_decisions(state: State, process: int) -> Iterator[tuple[str, State]]:
    """Yield the decisions of a process, with the current and with an outdated health of the VMs."""
    for drained in (False, True):
        for failed in {state.failed, None}:
            writes = decide(state.vms, state.due, failed, drained)
            if writes:
                pending = state.processes[process]
                decided = pending._replace(writes=writes)
                yield f'{process} decides', set_pending(state, process, decided)


def list_commits(state: State, process: int, switches: WaveSwitches) -> Iterator[tuple[str, State]]:
    """Yield the commit of a pending transaction.

    If the reply is lost, the process sends the transaction again or decides anew. Both are covered,
    because a repeated transaction fails on its conditions.
    """
    pending = state.processes[process]
    if not pending.writes:
        return
    vms = list(state.vms)
    touched = {index for index, _ in pending.writes}
    for index, row in pending.writes:
        vms[index] = row._replace(incarnation=vms[index].incarnation)
    processes = tuple(
        other._replace(writes=())
        if switches.fencing or touched.intersection(index for index, _ in other.writes)
        else other
        for other in state.processes
    )
    yield f'{process} commits', state._replace(vms=tuple(vms), processes=processes)


def list_reboots(state: State, process: int, switches: WaveSwitches) -> Iterator[tuple[str, State]]:
    """Yield the decision to request a reboot, and the call itself, which may come late."""
    pending = state.processes[process]
    if pending.reboot is None:
        for index, vm in enumerate(state.vms):
            if process == state.holder and vm.state == VmState.REBOOTING:
                call = pending._replace(reboot=(index, vm.row_incarnation))
                yield f'{process} is to reboot VM {index}', set_pending(state, process, call)
        return
    called = set_pending(state, process, pending._replace(reboot=None))
    index, incarnation = pending.reboot
    vm = state.vms[index]
    if switches.conditional_reboot and vm.incarnation != incarnation:
        yield f'{process} is refused a reboot', called
        return
    vms = list(state.vms)
    # Without the condition, further calls don't raise the incarnation, so that the model is finite.
    vms[index] = vm._replace(incarnation=min(vm.incarnation + 1, 2))
    late_stop = state.late_stop or vm.state != VmState.REBOOTING
    yield f'{process} reboots VM {index}', called._replace(vms=tuple(vms), late_stop=late_stop)


def set_pending(state: State, process: int, pending: Pending) -> State:
    """Return the state with the pending transaction and call of a process replaced."""
    processes = list(state.processes)
    processes[process] = pending
    return state._replace(processes=tuple(processes))


@lru_cache(maxsize=None)
def decide(
    vms: tuple[ModelVm, ...], due: bool, failed: int | None, drained: bool
) -> tuple[tuple[int, ModelVm], ...]:
    """Return the row writes that `plan_pool` decides, with their VM indexes."""
    rows = make_rows(vms, due)
    indexes = {row.name: index for index, row in enumerate(rows)}
    own = list_own(rows)
    health = {
        row.name: make_health(vms[indexes[row.name]].incarnation, indexes[row.name] != failed)
        for row in own
    }
    draining = frozenset(row.name for row in own if row.state == VmState.DRAINING)
    snapshot = make_snapshot(
        own, policy=MODEL_POLICY, health=health, drained=draining if drained else frozenset()
    )
    return tuple(
        (index, apply_row(change.after, vms[index]))
        for change in plan_pool(snapshot, {}).changes
        for index in [indexes[change.before.name]]
        if change.after is not None
    )


def list_own(rows: tuple[PoolVm, ...]) -> tuple[PoolVm, ...]:
    """Return the rows of the VMs that are in the pool."""
    return tuple(row for row in rows if row.pool == 'crossings')


def make_rows(vms: tuple[ModelVm, ...], due: bool) -> tuple[PoolVm, ...]:
    """Return the VMs as rows, each in a rack of its own."""
    blanks = make_vms('crossings', VMS_COUNT)
    return tuple(make_row(blank, vm, due) for blank, vm in zip(blanks, vms, strict=True))


def make_row(blank: PoolVm, vm: ModelVm, due: bool) -> PoolVm:
    """Return the VM as a row; a VM is due until it was maintained once."""
    borrowed = blank.name == f'crossings-{BORROWED_INDEX}'
    return replace(
        blank,
        home_pool='reserve' if borrowed else 'crossings',
        pool='reserve' if vm.returned else 'crossings',
        state=vm.state,
        incarnation=vm.row_incarnation,
        move_to='reserve' if vm.moves else None,
        last_maintained_s=0 if due and not vm.maintained else NOW_S,
    )


def apply_row(row: PoolVm, vm: ModelVm) -> ModelVm:
    """Return the VM of the model with a decided row."""
    was_rebooted = vm.state == VmState.REBOOTING and row.state == VmState.ACTIVE
    return vm._replace(
        state=row.state,
        row_incarnation=row.incarnation,
        maintained=vm.maintained or was_rebooted,
        moves=row.move_to is not None,
        returned=row.pool == 'reserve',
    )
