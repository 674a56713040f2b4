"""Asks the advice service for the steps whose tasks wait for it."""

import logging
from collections.abc import Callable

import trio

from comfreywind.clock import Clock
from comfreywind.errors import StoreUnavailableError
from comfreywind.platform.advice_client import AdviceClient
from comfreywind.scheduling.planner import Planner

IDLE_S = 0.05
RETRY_S = 0.3

log = logging.getLogger('comfreywind.advice')


class AdviceKeeper:
    """The holder's task for advice; one question at a time, because the service takes no more."""

    def __init__(
        self, client: AdviceClient, planner: Planner, clock: Clock, wake: Callable[[], None]
    ) -> None:
        """Answer the questions of the planner; `wake` has it plan again."""
        self._client = client
        self._planner = planner
        self._clock = clock
        self._wake = wake

    async def run(self) -> None:
        """Ask until cancelled."""
        while True:
            question = self._planner.select_question(self._clock.read_monotonic_s())
            if question is None:
                await trio.sleep(IDLE_S)
                continue
            asked_s = self._clock.read_monotonic_s()
            try:
                tickets = await self._client.request_tickets(
                    question.step_id, list(question.target_ids)
                )
            except StoreUnavailableError as error:
                log.info('%s', error)
                await trio.sleep(RETRY_S)
                continue
            self._planner.record_advice(question, tickets, asked_s)
            log.info('step %s: %d targets approved', question.step_id, len(tickets))
            self._wake()
