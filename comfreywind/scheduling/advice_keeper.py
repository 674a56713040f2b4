"""Requests tickets for the steps whose tasks may not start without them."""

import logging
from collections.abc import Callable

import trio

from comfreywind.clock import Clock
from comfreywind.errors import StoreUnavailableError
from comfreywind.platform.advice_client import AdviceClient
from comfreywind.scheduling.advice_book import AdviceBook

POLL_INTERVAL_S = 0.05
RETRY_S = 0.3

log = logging.getLogger('comfreywind.advice')


class AdviceKeeper:
    """The task of the holder for advice.

    It sends one request at a time, because the service takes no more.
    """

    def __init__(
        self, client: AdviceClient, book: AdviceBook, clock: Clock, wake_planner: Callable[[], None]
    ) -> None:
        """Send the questions of the book; `wake_planner` has the planner go on with the tickets."""
        self._client = client
        self._book = book
        self._clock = clock
        self._wake_planner = wake_planner

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            request = self._book.select_question()
            if request is None:
                await trio.sleep(POLL_INTERVAL_S)
                continue
            sent_s = self._clock.read_monotonic_s()
            try:
                tickets = await self._client.request_tickets(
                    request.step_id, list(request.target_ids)
                )
            except StoreUnavailableError as error:
                log.info('advice not received, retrying: %s', error)
                self._book.record_failure(request, self._clock.read_monotonic_s())
                await trio.sleep(RETRY_S)
                continue
            self._book.record_answer(request, tickets, sent_s)
            log.info(
                'step %s: advice service approved %d of %d targets',
                request.step_id,
                len(tickets),
                len(request.target_ids),
            )
            self._wake_planner()
