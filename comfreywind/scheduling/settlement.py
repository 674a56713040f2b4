"""Decides when this holder may start the jobs that earlier holders may have started."""

import logging
from collections.abc import Callable

import trio

from comfreywind.clock import Clock
from comfreywind.decisions.scheduling.handover import compute_earlier_lapse_s, may_reconcile
from comfreywind.errors import StoreUnavailableError
from comfreywind.jobs.resources import NO_RESOURCES, Resources, sum_resources
from comfreywind.jobs.tables import PROGRESS_PARTITIONS, TABLE_PROGRESS
from comfreywind.platform.rows_client import RowsClient
from comfreywind.scheduling.known_runs import KnownRuns
from comfreywind.scheduling.progress_journal import ProgressJournal
from comfreywind.scheduling.scheduler_state import SchedulerState
from comfreywind.scheduling.target_registry import TargetRegistry
from comfreywind.scheduling.term_keeper import HeldTerm

# Well below the usual response time of the store, so that polling does not delay a takeover.
CHECK_INTERVAL_S = 0.03

log = logging.getLogger('comfreywind.holder')


class Reconciliation:
    """Allows starts of older jobs once all runs of earlier holders are known or have lapsed."""

    def __init__(
        self,
        term: HeldTerm,
        rows: RowsClient,
        scheduler_state: SchedulerState,
        journal: ProgressJournal,
        registry: TargetRegistry,
        clock: Clock,
        is_gone: Callable[[str], bool],
    ) -> None:
        """Use the holder's components; `is_gone` returns whether a target has certainly ended."""
        self._term = term
        self._rows = rows
        self._state = scheduler_state
        self._journal = journal
        self._registry = registry
        self._clock = clock
        self._is_gone = is_gone
        self._lapse_s = compute_earlier_lapse_s(scheduler_state.lease_limit_s)
        self.done = False

    async def run(self, notify_done: Callable[[], None]) -> None:
        """Check until the older jobs may be started, then call `notify_done`.

        The checks have a task of their own, so that a slow store does not hold up planning.
        """
        while not self.done:
            await trio.sleep(CHECK_INTERVAL_S)
            await self._reconcile()
        notify_done()

    def compute_unknown_usage(self) -> Resources | None:
        """Return an upper bound of what runs of earlier holders take that no report has shown.

        It is the capacity of the targets that may have such runs, or None if one of these has no
        registration, or runs best-effort tasks, which may exceed its capacity.
        """
        if self.done or self._get_waited_s() >= self._lapse_s:
            return NO_RESOURCES
        unconfirmed = self._list_unconfirmed()
        if not self._registry.earlier_targets_known:
            return None
        if not unconfirmed:
            return NO_RESOURCES
        targets = [self._state.targets.get(target_id) for target_id in unconfirmed]
        capacities = [target.entry.capacity for target in targets if target is not None]
        if len(capacities) < len(targets) or self._state.has_best_effort_jobs():
            return None
        return sum_resources(capacities)

    async def _reconcile(self) -> None:
        """Reconcile if every target that earlier holders registered has reported all or is gone.

        A target that has ends left to list is waited for as long as its lease may last. Until this
        holder's fence has reached a target, an earlier holder can still store ends of runs and
        acknowledge them to the target. So the progress is read again after that.
        """
        waited_s = self._get_waited_s()
        unconfirmed = self._list_unconfirmed()
        if self._has_unread_ends() or not may_reconcile(
            len(unconfirmed), self._registry.earlier_targets_known, waited_s, self._lapse_s
        ):
            return
        try:
            await self._merge_progress()
        except StoreUnavailableError as error:
            log.info(
                'term %d: progress rows not read, so older jobs still wait: %s',
                self._term.epoch,
                error,
            )
            return
        self.done = True
        self._registry.drop_earlier_targets()
        self._state.mark_reconciled(self._state.jobs.values())
        log.info(
            'term %d: reconciled %.2f s after the takeover; targets without a report: %d',
            self._term.epoch,
            waited_s,
            len(unconfirmed),
        )

    async def _merge_progress(self) -> None:
        for page in await self._rows.read_partitions(TABLE_PROGRESS, PROGRESS_PARTITIONS):
            for row in page.rows:
                record = self._state.jobs.get(row.key)
                if record is not None and row.version > record.progress_version:
                    self._journal.merge_row(record, row)

    def _has_unread_ends(self) -> bool:
        """Return whether a target that has answered this holder may list further ends.

        It no longer counts once it is silent and its lease, also one of an earlier holder, is over.
        """
        now_s = self._clock.read_monotonic_s()
        earlier_end_s = self._term.taken_s + self._lapse_s
        return any(
            record.known_runs is KnownRuns.ACTIVE
            and not self._is_gone(target_id)
            and not (record.silent and now_s >= max(record.doubt.lease_end_s, earlier_end_s))
            for target_id, record in self._state.targets.items()
        )

    def _get_waited_s(self) -> float:
        return self._clock.read_monotonic_s() - self._term.taken_s

    def _list_unconfirmed(self) -> list[str]:
        return [
            target_id
            for target_id in self._registry.earlier_targets
            if self._is_unconfirmed(target_id)
        ]

    def _is_unconfirmed(self, target_id: str) -> bool:
        record = self._state.targets.get(target_id)
        has_reported = record is not None and record.reported and not record.doubt.restarted
        return not has_reported and not self._is_gone(target_id)
