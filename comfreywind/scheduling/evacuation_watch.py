"""Reads which data centres the operator has asked to evacuate."""

import logging
from collections.abc import Awaitable, Callable

import trio

from comfreywind.clock import Clock
from comfreywind.decisions.scheduling.evacuation_copy import (
    EvacuationCopy,
    compute_copy_age_limit_s,
)
from comfreywind.errors import StoreUnavailableError
from comfreywind.platform.rows_client import RowsClient
from comfreywind.platform.wire import PREFIX_EVACUATION, TABLE_OPERATOR

# A copy is confirmed this often. With a store that takes a second for an answer it is at most 2 s
# old when the next one comes, well below the limit.
READ_INTERVAL_S = 0.5
RETRY_S = 0.05

log = logging.getLogger('comfreywind.evacuation')


class EvacuationWatch:
    """Owns the holder's copy of the requests.

    It is read from the rows, not from the feed, which only tells when to read: a feed that tells of
    no change may be quiet because the store drops its history. Any value of a row is a request.
    """

    def __init__(
        self,
        rows: RowsClient,
        wait_for_change: Callable[[], Awaitable[None]],
        clock: Clock,
        evacuate_s: float,
        on_change: Callable[[frozenset[str], frozenset[str]], None],
    ) -> None:
        """Read when `wait_for_change` returns, and at an interval.

        `on_change` is called with the data centres that a read has added and removed.
        """
        self._rows = rows
        self._wait_for_change = wait_for_change
        self._clock = clock
        self._age_limit_s = compute_copy_age_limit_s(evacuate_s)
        self._on_change = on_change
        self._copy = EvacuationCopy()
        self._is_old = False

    @property
    def data_centres(self) -> frozenset[str] | None:
        """Return the data centres that were to be evacuated at the last read, None before it."""
        return None if self._copy.confirmed_s is None else self._copy.data_centres

    def is_recent(self) -> bool:
        """Return whether the copy is recent enough for a start."""
        return self._copy.is_recent(self._clock.read_monotonic_s(), self._age_limit_s)

    def may_start(self, data_centre: str) -> bool:
        """Return whether a task may be started in the data centre at this moment."""
        return self.may_start_at(data_centre, self._clock.read_monotonic_s())

    def may_start_at(self, data_centre: str, now_s: float) -> bool:
        """Return the same for a plan, which reads the clock once."""
        return self._copy.may_start(data_centre, now_s, self._age_limit_s)

    async def run(self) -> None:
        """Keep the copy recent until cancelled."""
        while True:
            requested_s = self._clock.read_monotonic_s()
            try:
                await self._read(requested_s)
            except StoreUnavailableError as error:
                self._note_failure(error)
                await trio.sleep(RETRY_S)
                with trio.move_on_after(READ_INTERVAL_S):
                    await self._rows.contact.wait_for_return()
            else:
                await self._pause(self._clock.read_monotonic_s() - requested_s)

    async def _read(self, requested_s: float) -> None:
        keys = await self._rows.read_versions(TABLE_OPERATOR, '', PREFIX_EVACUATION)
        data_centres = frozenset(key.removeprefix(PREFIX_EVACUATION) for key in keys)
        before = self._copy.data_centres
        self._copy = EvacuationCopy(data_centres, requested_s)
        if self._is_old:
            log.info('requests to evacuate read again, tasks are started again')
            self._is_old = False
        for added in sorted(data_centres - before):
            log.info('data centre %s: evacuation requested, nothing is started there', added)
        for removed in sorted(before - data_centres):
            log.info('data centre %s: evacuation taken back, tasks may start there', removed)
        if data_centres != before:
            self._on_change(data_centres - before, before - data_centres)

    def _note_failure(self, error: StoreUnavailableError) -> None:
        if self._is_old or self.is_recent():
            return
        self._is_old = True
        log.warning(
            'requests to evacuate not read for more than %.1f s, nothing is started: %s',
            self._age_limit_s,
            error,
        )

    async def _pause(self, took_s: float) -> None:
        """Wait for the next read; the time that a slow store takes counts towards the interval."""
        with trio.move_on_after(max(READ_INTERVAL_S - took_s, RETRY_S)):
            await self._wait_for_change()
