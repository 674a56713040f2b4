"""Tells the holder of the term about the jobs that this node has accepted."""

import logging
from collections.abc import Callable

import trio

from comfreywind.http.client import HttpClient
from comfreywind.intake.job_notice import NOTICE_HEADER, encode_notice
from comfreywind.platform.store_call import CALL_FAILURES
from comfreywind.platform.stored_row import StoredRow
from comfreywind.settings.address import Address

# A holder that takes longer learns of the job from the store as well.
NOTICE_TIMEOUT_S = 0.5
# Further jobs of a burst are left to the feed of the store.
WAITING_NOTICES_LIMIT = 64
SENDERS = 4

log = logging.getLogger('comfreywind.notices')


class JobNotifier:
    """Sends notices of accepted jobs in the background; one that is lost is not sent again.

    The holder reads accepted jobs from the change feed of the store. Notices reach it sooner when
    the store is slow, and also while the feed is quiet because the store drops its history.
    """

    def __init__(self, find_holder: Callable[[], Address | None]) -> None:
        """Send to the address that `find_holder` returns, or nowhere when it returns None."""
        self._find_holder = find_holder
        self._clients: dict[Address, HttpClient] = {}
        channel = trio.open_memory_channel[StoredRow](WAITING_NOTICES_LIMIT)
        self._sender = channel[0]
        self._receiver = channel[1]

    def notify(self, row: StoredRow) -> None:
        """Queue the notice of a job that the store has confirmed."""
        try:
            self._sender.send_nowait(row)
        except trio.WouldBlock:
            log.info('job %s: no notice, too many are waiting', row.key)

    async def run(self) -> None:
        """Send notices until cancelled."""
        async with trio.open_nursery() as nursery:
            for _ in range(SENDERS):
                nursery.start_soon(self._send_all)

    async def _send_all(self) -> None:
        async for row in self._receiver:
            address = self._find_holder()
            if address is not None:
                await self._send(address, row)

    async def _send(self, address: Address, row: StoredRow) -> None:
        client = self._clients.get(address)
        if client is None:
            client = self._clients.setdefault(address, HttpClient(address, NOTICE_TIMEOUT_S))
        try:
            await client.call('POST', '/', headers=[NOTICE_HEADER], raw_body=encode_notice(row))
        except CALL_FAILURES as error:
            log.info('job %s: notice not delivered, the feed tells of it: %r', row.key, error)
