"""Stores which targets may have runs, for the holder that comes next."""

import logging
from collections.abc import Callable

import trio

from comfreywind.clock import Clock
from comfreywind.errors import RowsChangedError, StoreUnavailableError
from comfreywind.http.client import Permit
from comfreywind.jobs.row_format import RowFormatError
from comfreywind.jobs.tables import HOLDER_PART, REGISTRY_KEY, TABLE_TERM
from comfreywind.platform.rows_client import RowsClient
from comfreywind.platform.stored_row import RowChange, StoredRow
from comfreywind.scheduling.scheduler_state import SchedulerState
from comfreywind.scheduling.target_record import TargetRecord
from comfreywind.scheduling.term_row import decode_registry, encode_registry

# A target that is gone may stay in the row so long; that only delays a later holder.
SHRINK_INTERVAL_S = 1.0
RETRY_S = 0.1

log = logging.getLogger('comfreywind.roster')


class TargetRegistry:
    """Owns the row of targets; a target gets no run before the row names it.

    Writing has a task of its own: while a slow store takes a new target in, work goes on to the
    others.
    """

    def __init__(
        self,
        rows: RowsClient,
        scheduler_state: SchedulerState,
        clock: Clock,
        note_change: Callable[[], None],
        permit: Permit,
    ) -> None:
        """Use the store's client; `note_change` is called when further targets may get runs.

        `permit` tells whether the term is held: a later holder's row must not be overwritten.
        """
        self._permit = permit
        self._rows = rows
        self._state = scheduler_state
        self._clock = clock
        self._note_change = note_change
        self._stored: frozenset[str] = frozenset()
        self._version = 0
        self._written_s = float('-inf')
        self._wake = trio.Event()
        self._keeps_earlier = True
        self.earlier_targets: frozenset[str] = frozenset()
        self.earlier_targets_known = True

    async def load(self) -> None:
        """Read what earlier holders stored; raise StoreUnavailableError without an answer."""
        self._take_earlier(await self._rows.read_row(TABLE_TERM, HOLDER_PART, REGISTRY_KEY))

    def drop_earlier_targets(self) -> None:
        """Drop targets of earlier holders once all that may run there is known."""
        self._keeps_earlier = False

    def update(self) -> None:
        """Have the row written if the targets have changed; returns at once."""
        records = self._state.targets.values()
        if any(_may_run(record) and not record.in_registry for record in records):
            self._wake.set()
            return
        now_s = self._clock.read_monotonic_s()
        if now_s - self._written_s > SHRINK_INTERVAL_S and self._list_wanted() != self._stored:
            self._wake.set()

    async def run(self) -> None:
        """Write the row whenever it has to change, for ever."""
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            while not await self._write():
                await trio.sleep(RETRY_S)
            self._note_change()

    def _list_wanted(self) -> frozenset[str]:
        wanted = frozenset(
            target_id for target_id, record in self._state.targets.items() if _may_run(record)
        )
        return wanted | self.earlier_targets if self._keeps_earlier else wanted

    async def _write(self) -> bool:
        """Write the targets that may get runs; return whether the row names just them."""
        wanted = self._list_wanted()
        for target_id, record in self._state.targets.items():
            # Nothing may start on a target while a row without it is under way.
            record.in_registry = record.in_registry and target_id in wanted
        self._written_s = self._clock.read_monotonic_s()
        change = RowChange(TABLE_TERM, REGISTRY_KEY, encode_registry(wanted), self._version)
        try:
            self._version = await self._rows.commit(HOLDER_PART, [change], self._permit)
        except RowsChangedError as error:
            for row in error.rows:
                self._version = row.version
            return False
        except StoreUnavailableError as error:
            log.info('%d targets are not stored: %s', len(wanted), error)
            return False
        self._stored = wanted
        for target_id in wanted & self._state.targets.keys():
            self._state.targets[target_id].in_registry = True
        return True

    def _take_earlier(self, row: StoredRow) -> None:
        self._version = row.version
        try:
            self.earlier_targets = decode_registry(row.payload)
        except RowFormatError as error:
            self.earlier_targets_known = False
            log.warning('starts of older jobs wait until all earlier runs have lapsed: %s', error)


def _may_run(record: TargetRecord) -> bool:
    return record.reported and bool(record.runs or not (record.leaving or record.silent))
