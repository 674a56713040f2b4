"""The control work of an entry over all pools."""

import logging

import trio

from comfreywind.control.control_parts import ControlParts, VmList
from comfreywind.control.pool_controller import PoolController
from comfreywind.control.prober import probe_vms
from comfreywind.control.snapshot_maker import list_pool_vms
from comfreywind.entry.fleet_view import FleetView
from comfreywind.entry.rules_view import RulesView

log = logging.getLogger('comfreywind.control')
RELEASE_TIMEOUT_S = 2


class ControlTask:
    """Runs one controller for each pool of the rules in a fixed period."""

    def __init__(self, parts: ControlParts, rules_view: RulesView, fleet_view: FleetView) -> None:
        """Start without controllers."""
        self._parts = parts
        self._rules_view = rules_view
        self._fleet_view = fleet_view
        self._controllers: dict[str, PoolController] = {}
        self._released = False

    async def run(self) -> None:
        """Work until cancelled."""
        while not self._released:
            await self.tick()
            await trio.sleep(self._parts.timings.control_interval_s)

    async def tick(self) -> None:
        """Observe members and VMs, then do one step for each pool."""
        self._parts.members.observe()
        rules = self._rules_view.rules
        if rules is None or self._released:
            return
        listed = {vm.name: vm for vm in self._fleet_view.list_vms()}
        self._adjust_controllers(set(rules.pools))
        if listed:
            await self._observe_vms(listed)
        async with trio.open_nursery() as nursery:
            for controller in self._controllers.values():
                nursery.start_soon(controller.tick, rules, listed)

    async def release(self) -> None:
        """Give up all leases within a bounded time and take none any more."""
        self._released = True
        with trio.move_on_after(RELEASE_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                for controller in self._controllers.values():
                    nursery.start_soon(controller.release)

    def _adjust_controllers(self, pools: set[str]) -> None:
        for pool in pools - set(self._controllers):
            self._controllers[pool] = PoolController(pool, self._parts)
        for pool in set(self._controllers) - pools:
            self._controllers.pop(pool)

    async def _observe_vms(self, listed: VmList) -> None:
        held_pools = {pool for pool, held in self._controllers.items() if held.is_held()}
        rows = {vm.name: vm for vm in list_pool_vms(self._parts.view) if vm.pool in held_pools}
        probed = [vm for name, vm in listed.items() if name in rows]
        accepting = await probe_vms(probed, self._parts.timings.probe_timeout_s)
        incarnations = {name: vm.incarnation for name, vm in rows.items()}
        self._parts.health.observe(incarnations, listed, accepting)
