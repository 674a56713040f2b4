"""A conditional write to the store that is repeated while no answer comes."""

import logging
from collections.abc import Callable
from dataclasses import dataclass

import trio

from comfreywind.clock import Clock
from comfreywind.errors import RowsChangedError, StoreRefusedError, StoreUnavailableError
from comfreywind.http.client import Permit
from comfreywind.platform.rows_client import RowsClient
from comfreywind.platform.stored_row import RowChange

# An answer that takes this long is usually lost.
REPEAT_AFTER_S = 0.35
# A slow store is not called again before it has had this multiple of its last response time.
RESPONSE_TIME_FACTOR = 2.0
ATTEMPTS_LIMIT = 3

log = logging.getLogger('comfreywind.store')


@dataclass(frozen=True, slots=True)
class WriteAttempt:
    """What was sent at `sent_s` on the steady clock."""

    payload: bytes
    sent_s: float


@dataclass(frozen=True, slots=True)
class WriteOutcome:
    """The attempt that took effect, the version of its row, and how long the answer took."""

    attempt: WriteAttempt
    version: int
    took_s: float


class RepeatedWrite:
    """Writes one row under the condition of its version; attempts may be open at the same time.

    At most one attempt takes effect, because each needs the same version. If a later one conflicts
    with the payload of an earlier one, the earlier one has taken effect and its answer was lost.
    """

    def __init__(
        self,
        rows: RowsClient,
        partition: str,
        make_change: Callable[[float], RowChange],
        clock: Clock,
        permit: Permit | None = None,
    ) -> None:
        """Write what `make_change` returns for the time at which an attempt is sent."""
        self._rows = rows
        self._partition = partition
        self._make_change = make_change
        self._clock = clock
        self._permit = permit
        self._attempts: list[WriteAttempt] = []
        self._open_count = 0
        self._outcome: WriteOutcome | None = None
        self._error: RowsChangedError | StoreUnavailableError | None = None
        self._decided = trio.Event()

    async def run(self) -> WriteOutcome:
        """Return the outcome.

        Raises RowsChangedError if another writer has changed the row, StoreRefusedError if no attempt
        can have taken effect, and StoreUnavailableError if that is unknown.
        """
        repeat_after_s = max(REPEAT_AFTER_S, RESPONSE_TIME_FACTOR * self._rows.commit_took_s)
        async with trio.open_nursery() as nursery:
            for _ in range(ATTEMPTS_LIMIT):
                self._open_count += 1
                nursery.start_soon(self._attempt)
                with trio.move_on_after(repeat_after_s):
                    await self._decided.wait()
                if self._decided.is_set():
                    break
            await self._decided.wait()
            nursery.cancel_scope.cancel()
        if self._outcome is not None:
            return self._outcome
        raise self._error or StoreUnavailableError('no attempt of the write was answered')

    async def _attempt(self) -> None:
        sent_s = self._clock.read_monotonic_s()
        change = self._make_change(sent_s)
        attempt = WriteAttempt(change.payload or b'', sent_s)
        self._attempts.append(attempt)
        try:
            version = await self._rows.commit(self._partition, [change], self._permit)
        except RowsChangedError as error:
            self._resolve_conflict(error, sent_s)
        except StoreUnavailableError as error:
            self._record_failure(error)
        else:
            self._succeed(attempt, version, sent_s)

    def _resolve_conflict(self, error: RowsChangedError, sent_s: float) -> None:
        for row in error.rows:
            for attempt in self._attempts:
                if row.payload == attempt.payload:
                    log.info('row %s: an answer was lost, the write had taken effect', row.key)
                    self._succeed(attempt, row.version, sent_s)
                    return
        self._error = error
        self._decided.set()

    def _record_failure(self, error: StoreUnavailableError) -> None:
        """Keep the error that says least, because any attempt without an answer may take effect."""
        self._open_count -= 1
        if self._error is None or isinstance(self._error, StoreRefusedError):
            self._error = error
        if not self._open_count:
            self._decided.set()

    def _succeed(self, attempt: WriteAttempt, version: int, sent_s: float) -> None:
        took_s = self._clock.read_monotonic_s() - sent_s
        self._outcome = self._outcome or WriteOutcome(attempt, version, took_s)
        self._decided.set()
