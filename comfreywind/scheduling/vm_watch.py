"""Keeps the platform's list of VMs while it is needed, and frees what ran on VMs that are down."""

import logging
from collections.abc import Callable

import trio

from comfreywind.clock import Clock
from comfreywind.errors import StoreUnavailableError
from comfreywind.jobs.vm import Vm
from comfreywind.platform.vm_client import VmClient
from comfreywind.scheduling.board import Board

# Each reading is a call to the platform, so the list is read only while someone needs it.
LIST_INTERVAL_S = 0.8
# Orders come in groups, and the platform limits how often its list is read.
SHORTEST_INTERVAL_S = 0.12
IDLE_S = 0.1

log = logging.getLogger('comfreywind.vms')


class VmWatch:
    """Owns the list; `needed` says whether it has to be fresh."""

    def __init__(self, client: VmClient, board: Board, clock: Clock) -> None:
        """Use the client of the VM service and the board of the term."""
        self._client = client
        self._board = board
        self._clock = clock
        self.vms: dict[str, Vm] = {}
        self.read_s = float('-inf')
        self._wanted = trio.Event()
        self._read_done = trio.Event()

    def request_read(self) -> None:
        """Have the list read soon, because an order was carried out."""
        self._wanted.set()

    async def wait_for_read(self, limit_s: float) -> None:
        """Return after the next reading, or after the limit."""
        with trio.move_on_after(limit_s):
            await self._read_done.wait()

    async def run(self, needed: Callable[[], bool], note_change: Callable[[], None]) -> None:
        """Read the list in a fixed period while it is needed, for ever."""
        while True:
            if not needed():
                await trio.sleep(IDLE_S)
                continue
            self._wanted = trio.Event()
            try:
                await self._read()
            except StoreUnavailableError as error:
                log.info('%s', error)
            else:
                if self._drop_dead():
                    note_change()
            await trio.sleep(SHORTEST_INTERVAL_S)
            with trio.move_on_after(LIST_INTERVAL_S - SHORTEST_INTERVAL_S):
                await self._wanted.wait()

    def is_dead(self, target_id: str, since_s: float) -> bool:
        """Return whether a list read after `since_s` shows that the target's life is over.

        Each life of a VM has a target id of its own, and what ran there ends with it.
        """
        return self.read_s > since_s and target_id not in self._find_living()

    def get_list_age_s(self, now_s: float) -> float:
        """Return how old the list is in seconds."""
        return now_s - self.read_s

    async def _read(self) -> None:
        asked_s = self._clock.read_monotonic_s()
        self.vms = {vm.name: vm for vm in await self._client.read_vms()}
        self.read_s = asked_s
        self._read_done.set()
        self._read_done = trio.Event()

    def _find_living(self) -> set[str]:
        return {vm.target_id for vm in self.vms.values() if vm.up}

    def _drop_dead(self) -> bool:
        living = self._find_living()
        dropped = False
        for target_id, record in self._board.targets.items():
            if target_id in living or not record.silent:
                continue
            if record.runs:
                log.info('target %s: its VM is down, %d runs lost', target_id, len(record.runs))
                dropped = True
            self._board.drop_runs(record, self._clock.read_monotonic_s())
        return dropped
