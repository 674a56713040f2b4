"""Stores the ids of the targets that may have runs, for the next holder."""

import logging
from collections.abc import Callable

import trio

from comfreywind.clock import Clock
from comfreywind.errors import RowsChangedError, StoreUnavailableError
from comfreywind.http.client import Permit
from comfreywind.jobs.row_format import RowFormatError
from comfreywind.jobs.tables import HOLDER_PARTITION, TABLE_TERM, TARGET_REGISTRY_KEY
from comfreywind.platform.rows_client import RowsClient
from comfreywind.platform.stored_row import RowChange, StoredRow
from comfreywind.scheduling.scheduler_state import SchedulerState
from comfreywind.scheduling.target_record import TargetRecord
from comfreywind.scheduling.term_row import decode_registry, encode_registry

# A target that is gone may stay in the row for this time, which only delays the next takeover.
SHRINK_INTERVAL_S = 1.0
RETRY_S = 0.1

log = logging.getLogger('comfreywind.roster')


class TargetRegistry:
    """Owns the row of target ids; a target gets no run before the stored row names it.

    The row is written in a task of its own, so that other targets get work while a slow store
    answers.
    """

    def __init__(
        self,
        rows: RowsClient,
        scheduler_state: SchedulerState,
        clock: Clock,
        notify_change: Callable[[], None],
        permit: Permit,
    ) -> None:
        """Use the store's client; `notify_change` is called when further targets may get runs.

        `permit` returns whether the term is still held, because the row of a later holder must not
        be overwritten.
        """
        self._permit = permit
        self._rows = rows
        self._state = scheduler_state
        self._clock = clock
        self._notify_change = notify_change
        self._stored_targets: frozenset[str] = frozenset()
        self._version = 0
        self._written_s = float('-inf')
        self._wake = trio.Event()
        self._keeps_earlier_targets = True
        self.earlier_targets: frozenset[str] = frozenset()
        self.earlier_targets_known = False

    async def load(self) -> None:
        """Read the targets that earlier holders stored.

        Raises StoreUnavailableError when the store gives no answer.
        """
        self._apply_earlier_row(
            await self._rows.read_row(TABLE_TERM, HOLDER_PARTITION, TARGET_REGISTRY_KEY)
        )

    def drop_earlier_targets(self) -> None:
        """Stop storing the targets of earlier holders, whose runs are known or have lapsed."""
        self._keeps_earlier_targets = False

    def update(self) -> None:
        """Wake the writer if the row has to change, without waiting for it."""
        records = self._state.targets.values()
        if any(_may_have_runs(record) and not record.in_registry for record in records):
            self._wake.set()
            return
        now_s = self._clock.read_monotonic_s()
        if (
            now_s - self._written_s > SHRINK_INTERVAL_S
            and self._list_targets_to_store() != self._stored_targets
        ):
            self._wake.set()

    async def run(self) -> None:
        """Write the row whenever it has to change, until cancelled."""
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            while not await self._write():
                await trio.sleep(RETRY_S)
            self._notify_change()

    def _list_targets_to_store(self) -> frozenset[str]:
        to_store = frozenset(
            target_id for target_id, record in self._state.targets.items() if _may_have_runs(record)
        )
        return to_store | self.earlier_targets if self._keeps_earlier_targets else to_store

    async def _write(self) -> bool:
        """Write the row; return whether the store has confirmed it."""
        to_store = self._list_targets_to_store()
        for target_id, record in self._state.targets.items():
            # Nothing may start on a target while a row without it is being written.
            record.in_registry = record.in_registry and target_id in to_store
        self._written_s = self._clock.read_monotonic_s()
        change = RowChange(
            TABLE_TERM, TARGET_REGISTRY_KEY, encode_registry(to_store), self._version
        )
        try:
            self._version = await self._rows.commit(HOLDER_PARTITION, [change], self._permit)
        except RowsChangedError as error:
            for row in error.rows:
                self._version = row.version
            return False
        except StoreUnavailableError as error:
            log.info(
                'target registry with %d targets not stored, trying again: %s', len(to_store), error
            )
            return False
        self._stored_targets = to_store
        for target_id in to_store & self._state.targets.keys():
            self._state.targets[target_id].in_registry = True
        return True

    def _apply_earlier_row(self, row: StoredRow) -> None:
        self._version = row.version
        try:
            self.earlier_targets = decode_registry(row.payload)
        except RowFormatError as error:
            log.warning(
                'target registry of the earlier holder is unreadable; '
                'its jobs wait until all its runs have lapsed: %s',
                error,
            )
        else:
            self.earlier_targets_known = True


def _may_have_runs(record: TargetRecord) -> bool:
    """Return whether the next holder has to hear of the target before it starts older tasks."""
    usable = not (record.leaving or record.silent)
    return record.reported and bool(record.runs or record.has_unstored_ends or usable)
