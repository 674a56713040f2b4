"""Calls a service that is out of reach until it answers again."""

import logging
import random
from collections.abc import Awaitable, Callable

import trio

from comfreywind.errors import PlatformError
from comfreywind.http.service_contact import ServiceContact

# A silent service answers no probe that was sent before its return, so further ones are sent while
# earlier ones are open.
PROBE_INTERVAL_S = 0.25
# Keeps the processes of a fleet, which lose a service at the same moment, from probing in step.
JITTER_RATIO = 0.2

log = logging.getLogger('comfreywind.contact')


class ServiceProbe:
    """Sends a call every `PROBE_INTERVAL_S` during an outage, and none at other times."""

    def __init__(self, contact: ServiceContact, call: Callable[[], Awaitable[object]]) -> None:
        """Probe by `call`, which records its own outcome with the contact."""
        self._contact = contact
        self._call = call
        self._random = random.Random()

    async def run(self) -> None:
        """Probe in each outage until cancelled."""
        while True:
            await self._contact.wait_for_loss()
            async with trio.open_nursery() as nursery:
                await self._probe_until_return(nursery)
                nursery.cancel_scope.cancel()

    async def _probe_until_return(self, nursery: trio.Nursery) -> None:
        while not self._contact.reachable:
            nursery.start_soon(self._probe)
            jitter = self._random.uniform(1 - JITTER_RATIO, 1 + JITTER_RATIO)
            with trio.move_on_after(PROBE_INTERVAL_S * jitter):
                await self._contact.wait_for_return()

    async def _probe(self) -> None:
        try:
            await self._call()
        except PlatformError as error:
            log.debug('probe not answered: %s', error)
