"""Carries out the evacuations of data centres that the operator asks for, during one term."""

import logging
from collections.abc import Callable, Collection

import trio

from comfreywind.clock import Clock
from comfreywind.decisions.scheduling.evacuation_state import (
    EvacuationFacts,
    EvacuationState,
    decide_evacuation_state,
)
from comfreywind.errors import StoreUnavailableError
from comfreywind.platform.rows_client import RowsClient
from comfreywind.scheduling.evacuation_mover import EvacuationMover
from comfreywind.scheduling.evacuation_status import EvacuationStatus
from comfreywind.scheduling.evacuation_watch import EvacuationWatch
from comfreywind.scheduling.node_data_centres import NodeDataCentres
from comfreywind.scheduling.orders import Order
from comfreywind.scheduling.rules_follower import RulesFollower
from comfreywind.scheduling.scheduler_state import SchedulerState
from comfreywind.scheduling.start_revocation import revoke_unanswered_starts
from comfreywind.scheduling.target_record import TargetRecord
from comfreywind.scheduling.vm_watch import VmWatch

INTERVAL_S = 0.3
# Counts of runs change with each turn, so they are logged no more often than this.
LOG_INTERVAL_S = 2.0

log = logging.getLogger('comfreywind.evacuation')


class Evacuation:
    """Owns the holder's copy of the requests, the moves that follow and the rows of their states."""

    def __init__(
        self,
        rows: RowsClient,
        rules: RulesFollower,
        scheduler_state: SchedulerState,
        clock: Clock,
        evacuate_s: float,
        may_order: Callable[[], bool],
        publish: Callable[[list[Order]], None],
        poll_anew: Callable[[str], None],
    ) -> None:
        """Use the components of the holder.

        `publish` sends orders and triggers a new plan, `poll_anew` has a target polled whose fence
        was raised.
        """
        self._state = scheduler_state
        self._clock = clock
        self._may_order = may_order
        self._publish = publish
        self._poll_anew = poll_anew
        self.watch = EvacuationWatch(
            rows, rules.wait_for_evacuation_change, clock, evacuate_s, self._apply_change
        )
        self._mover = EvacuationMover(scheduler_state, self._may_move_to)
        self._status = EvacuationStatus(rows, may_order)
        self._nodes = NodeDataCentres(rows, clock)
        self._vm_watch: VmWatch | None = None
        self._all_runs_known: Callable[[], bool] = bool
        self._existing: set[str] = set()
        self._logged: dict[str, str] = {}
        self._logged_s = float('-inf')

    def use_vm_list(self, vm_watch: VmWatch) -> None:
        """Tell by the list of VMs as well which data centres there are."""
        self._vm_watch = vm_watch

    def needs_vm_list(self) -> bool:
        """Return whether only the list of VMs can tell which data centres there are."""
        requested = self._list_requested()
        unknown = not requested <= self._list_existing()
        return not self._knows_vms() and (unknown or self._are_all_evacuated(requested))

    def list_data_centres(self) -> frozenset[str] | None:
        """Return the data centres under evacuation, or None before they were first read."""
        return self.watch.data_centres

    def count_vms_for_moves(self, pool: str) -> int:
        """Return how many VMs a pool needs besides for runs that are to be moved."""
        return self._mover.count_vms_for_moves(pool)

    def may_start_on(self, target: TargetRecord, now_s: float) -> bool:
        """Return whether a plan may start runs on a target."""
        may_start = self.watch.may_start_at(target.entry.data_centre, now_s)
        return may_start and target.may_start(now_s)

    def may_send_start(self, target: TargetRecord) -> bool:
        """Return whether a start may be sent to a target at this moment."""
        return self.watch.may_start(target.entry.data_centre)

    def prepare_plan(self) -> None:
        """Give up the places that are kept for tasks which the next plan starts."""
        self._mover.holds.release_ended()

    async def run(self, all_runs_known: Callable[[], bool]) -> None:
        """Move runs and write states until cancelled; targets and jobs have been loaded.

        `all_runs_known` returns whether no run of an earlier holder can be unknown.
        """
        self._all_runs_known = all_runs_known
        await self._load()
        while True:
            try:
                await self._advance()
            except StoreUnavailableError as error:
                log.info('state of evacuations not written, next attempt follows: %s', error)
            await trio.sleep(INTERVAL_S)

    async def _load(self) -> None:
        while True:
            try:
                await self._status.load()
            except StoreUnavailableError as error:
                log.info('state of evacuations not read, trying again: %s', error)
                await trio.sleep(INTERVAL_S)
            else:
                break
        self._existing.update(
            data_centre
            for data_centre, state in self._status.stored.items()
            if state is not None and state.state != 'rejected'
        )

    async def _advance(self) -> None:
        if not self._list_requested() <= self._existing | self._list_existing():
            await self._nodes.refresh()
        if not (self.watch.is_recent() and self._may_order()):
            return
        requested = self._list_requested()
        self._existing = (self._existing & requested) | self._list_existing()
        all_evacuated = self._are_all_evacuated(requested)
        now_s = self._clock.read_monotonic_s()
        orders = self._mover.advance(requested, all_evacuated, now_s)
        if orders:
            self._publish(orders)
        states = {each: self._decide_state(each, all_evacuated) for each in requested}
        known = {each: state for each, state in states.items() if state is not None}
        self._log_states(known, now_s)
        # The row of a request whose state is not known yet stays as it is.
        kept = {
            each: state
            for each, state in self._status.stored.items()
            if state is not None and each in requested
        }
        await self._status.publish({**kept, **known})

    def _decide_state(self, data_centre: str, all_evacuated: bool) -> EvacuationState | None:
        targets = [
            target
            for target in self._state.targets.values()
            if target.entry.data_centre == data_centre
        ]
        reported = all(
            target.silent or (target.reported and target.doubt.settled) for target in targets
        )
        return decide_evacuation_state(
            EvacuationFacts(
                exists=self._exists(data_centre),
                runs_left=sum(len(target.runs) for target in targets),
                all_known=reported and self._all_runs_known(),
                all_evacuated=all_evacuated,
            )
        )

    def _exists(self, data_centre: str) -> bool | None:
        if data_centre in self._existing:
            return True
        known = self._knows_vms() and self._nodes.found is not None
        return False if known else None

    def _knows_vms(self) -> bool:
        return self._vm_watch is None or bool(self._vm_watch.vms)

    def _are_all_evacuated(self, requested: frozenset[str]) -> bool:
        with_capacity = self._list_with_capacity()
        return bool(with_capacity) and with_capacity <= requested

    def _list_requested(self) -> frozenset[str]:
        return self.watch.data_centres or frozenset()

    def _list_existing(self) -> set[str]:
        """Return the data centres of all targets, VMs and nodes that are known."""
        return self._list_with_capacity() | (self._nodes.found or frozenset())

    def _list_with_capacity(self) -> set[str]:
        found = {
            target.entry.data_centre
            for target in self._state.targets.values()
            if not target.leaving
        }
        if self._vm_watch is not None:
            found.update(vm.data_centre for vm in self._vm_watch.vms.values())
        return found

    def _may_move_to(self, target: TargetRecord) -> bool:
        return self.may_start_on(target, self._clock.read_monotonic_s())

    def _apply_change(self, added: Collection[str], removed: Collection[str]) -> None:
        """Revoke the starts under way where an evacuation begins, and plan anew.

        Targets where one has ended come after warm ones for as long as they are cold.
        """
        for record in revoke_unanswered_starts(self._state, added):
            self._poll_anew(record.entry.target_id)
        for target in self._state.targets.values():
            if target.entry.data_centre in removed:
                target.note_cold()
        self._publish([])

    def _log_states(self, states: dict[str, EvacuationState], now_s: float) -> None:
        self._logged = {each: text for each, text in self._logged.items() if each in states}
        texts = {each: self._describe(each, state) for each, state in states.items()}
        changed = [each for each in sorted(texts) if self._logged.get(each) != texts[each]]
        if not changed or now_s - self._logged_s < LOG_INTERVAL_S:
            return
        self._logged_s = now_s
        for data_centre in changed:
            self._logged[data_centre] = texts[data_centre]
            log.info('data centre %s: evacuation %s', data_centre, texts[data_centre])

    def _describe(self, data_centre: str, state: EvacuationState) -> str:
        stays = self._mover.stays[data_centre]
        parts = ', '.join(f'{count} {reason}' for reason, count in sorted(stays.items()))
        counts = f'{stays.total()} runs left{": " if parts else ""}{parts}'
        reason = f' ({state.reason})' if state.reason else ''
        return f'{state.state}{reason}, {counts}'
