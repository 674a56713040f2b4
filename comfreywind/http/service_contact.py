"""Knows whether a service answers the calls of this process."""

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import TypeVar

import trio

from comfreywind.clock import Clock
from comfreywind.errors import CallAbandonedError
from comfreywind.metrics import Metrics, NoMetrics

Answer = TypeVar('Answer')

log = logging.getLogger('comfreywind.contact')


@dataclass(eq=False, slots=True)
class _SentCall:
    sent_s: float
    is_answered: Callable[[], bool]
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)


def _has_no_answer() -> bool:
    return False


class ServiceContact:
    """Follows the answers of one service, and ends calls that were sent into an outage.

    A call to a silent service is lost but fails only at its timeout. Once a later call is answered,
    calls that were sent before it are abandoned, so that their callers can repeat them at once. A
    call whose answer is arriving is not lost, and goes on.
    Times in seconds are on the steady clock.
    """

    def __init__(self, name: str, clock: Clock, metrics: Metrics | None = None) -> None:
        """Start as reachable; `name` is used in log lines and metric names."""
        self._name = name
        self._clock = clock
        self._metrics = metrics or NoMetrics()
        self._answered_sent_s = float('-inf')
        self._lost_s: float | None = None
        self._is_silent = False
        self._returned_s = float('-inf')
        self._in_flight: set[_SentCall] = set()
        self._returned = trio.Event()
        self._lost = trio.Event()

    @property
    def reachable(self) -> bool:
        """Return whether the service answered the call that was sent last of those that ended."""
        return self._lost_s is None

    @property
    def returned_s(self) -> float:
        """Return when the last outage ended, or minus infinity before the first."""
        return self._returned_s

    async def wait_for_loss(self) -> None:
        """Return once the service is out of reach."""
        if self.reachable:
            await self._lost.wait()

    async def wait_for_return(self) -> None:
        """Return once the service answers again; at once if it is within reach."""
        if not self.reachable:
            await self._returned.wait()

    async def follow(
        self,
        call: Callable[[], Awaitable[Answer]],
        is_answered: Callable[[], bool] | None = None,
    ) -> Answer:
        """Make a call; raise CallAbandonedError if it has no answer at the end of an outage.

        `is_answered` tells whether the answer has begun to arrive.
        """
        sent = _SentCall(self._clock.read_monotonic_s(), is_answered or _has_no_answer)
        self._in_flight.add(sent)
        try:
            with sent.scope:
                return await call()
        finally:
            self._in_flight.discard(sent)
        raise CallAbandonedError(f'the {self._name} answered a call that was sent later')

    def record_answer(self, sent_s: float) -> None:
        """Record that the service served a call that was sent at `sent_s`."""
        self._answered_sent_s = max(self._answered_sent_s, sent_s)
        if self._lost_s is not None:
            self._end_outage(self._lost_s, sent_s)

    def record_failure(self, sent_s: float, reason: str, silent: bool = False) -> None:
        """Record a call that was refused or, if `silent` is set, not answered in time."""
        if sent_s < self._answered_sent_s:
            return
        self._is_silent = self._is_silent or silent
        if self._lost_s is None:
            log.info('%s out of reach: %s', self._name, reason)
            self._lost_s = self._clock.read_monotonic_s()
            self._metrics.set_level(f'{self._name}_reachable', 0)
            self._lost.set()
            self._returned = trio.Event()

    def _end_outage(self, lost_s: float, sent_s: float) -> None:
        now_s = self._clock.read_monotonic_s()
        abandoned = [
            call
            for call in self._in_flight
            if self._is_silent and call.sent_s < sent_s and not call.is_answered()
        ]
        log.info(
            '%s within reach again after %.2f s; calls abandoned: %d',
            self._name,
            now_s - lost_s,
            len(abandoned),
        )
        self._metrics.set_level(f'{self._name}_reachable', 1)
        self._metrics.record_duration(f'{self._name}_outages', now_s - lost_s)
        self._lost_s = None
        self._is_silent = False
        self._returned_s = now_s
        self._lost = trio.Event()
        self._returned.set()
        for call in abandoned:
            call.scope.cancel()
