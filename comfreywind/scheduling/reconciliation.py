"""Finds out when the jobs of an earlier holder may be started by this one."""

import logging
from collections.abc import Callable

import trio

from comfreywind.clock import Clock
from comfreywind.decisions.scheduling.handover import may_reconcile
from comfreywind.errors import StoreUnavailableError
from comfreywind.jobs.tables import PROGRESS_PARTS, TABLE_PROGRESS
from comfreywind.platform.rows_client import RowsClient
from comfreywind.scheduling.scheduler_state import SchedulerState
from comfreywind.scheduling.progress_journal import ProgressJournal
from comfreywind.scheduling.target_registry import TargetRegistry
from comfreywind.scheduling.target_link import EARLIER_RUNS_LAPSE_S
from comfreywind.scheduling.term_keeper import HeldTerm

# Well under the answer of a calm store, so that looking adds nothing to a change of the holder.
INTERVAL_S = 0.03

log = logging.getLogger('comfreywind.holder')


class Reconciliation:
    """Allows starts of older jobs once no run of an earlier holder can be unseen."""

    def __init__(
        self,
        term: HeldTerm,
        rows: RowsClient,
        scheduler_state: SchedulerState,
        journal: ProgressJournal,
        registry: TargetRegistry,
        clock: Clock,
        is_dead: Callable[[str], bool],
    ) -> None:
        """Use the holder's parts; `is_dead` tells whether a target's life is certainly over."""
        self._term = term
        self._rows = rows
        self._state = scheduler_state
        self._journal = journal
        self._registry = registry
        self._clock = clock
        self._is_dead = is_dead
        self.done = False

    async def run(self, note_done: Callable[[], None]) -> None:
        """Look until the older jobs may be started; a slow store must not hold up planning."""
        while not self.done:
            await trio.sleep(INTERVAL_S)
            await self._try()
        note_done()

    async def _try(self) -> None:
        """Settle if every target of the roster was heard or is gone.

        Until this holder's fence had reached a target, the earlier one could still store ends and
        acknowledge them there. So the progress is read once more after that.
        """
        waited_s = self._clock.read_monotonic_s() - self._term.taken_s
        unseen = [
            target_id for target_id in self._registry.earlier_targets if self._is_unseen(target_id)
        ]
        if not may_reconcile(
            len(unseen), self._registry.earlier_targets_known, waited_s, EARLIER_RUNS_LAPSE_S
        ):
            return
        try:
            await self._join_progress()
        except StoreUnavailableError as error:
            log.info('term %d: progress is not read again yet: %s', self._term.epoch, error)
            return
        self.done = True
        self._registry.drop_earlier_targets()
        self._state.mark_reconciled(self._state.jobs.values())
        log.info(
            'term %d: settled after %.2f s, %d targets not seen',
            self._term.epoch,
            waited_s,
            len(unseen),
        )

    async def _join_progress(self) -> None:
        for page in await self._rows.read_parts(TABLE_PROGRESS, PROGRESS_PARTS):
            for row in page.rows:
                record = self._state.jobs.get(row.key)
                if record is not None and row.version > record.progress_version:
                    self._journal.merge_row(record, row)

    def _is_unseen(self, target_id: str) -> bool:
        record = self._state.targets.get(target_id)
        heard = record is not None and record.reported
        return not heard and not self._is_dead(target_id)
