"""Runs the pool controllers of an entry."""

import logging
from collections import defaultdict

import trio

from comfreywind.control.control_parts import ControlComponents, VmList
from comfreywind.control.pool_controller import PoolController
from comfreywind.control.probe_rotation import ProbeRotation
from comfreywind.control.prober import probe_vms
from comfreywind.entry.fleet_view import FleetView
from comfreywind.entry.rules_view import RulesView
from comfreywind.platform.vm_entry import VmEntry

log = logging.getLogger('comfreywind.control')
RELEASE_TIMEOUT_S = 2


class ControlTask:
    """Runs one controller for each pool, with a pause of `control_interval_s` between cycles.

    Pools are those in the rules and removed ones that still have VMs.
    """

    def __init__(
        self, components: ControlComponents, rules_view: RulesView, fleet_view: FleetView
    ) -> None:
        """Start without controllers."""
        self._components = components
        self._rules_view = rules_view
        self._fleet_view = fleet_view
        self._controllers: dict[str, PoolController] = {}
        self._released = False
        self._list_changed = True
        self._probe_rotation = ProbeRotation()
        self._listed: dict[str, VmEntry] = {}
        self._listed_by_pool: dict[str, list[VmEntry]] = {}
        fleet_view.subscribe(self._mark_list_changed)

    async def run(self) -> None:
        """Run the controllers until cancelled or released."""
        while not self._released:
            await self.tick()
            await trio.sleep(self._components.timings.control_interval_s)

    async def tick(self) -> None:
        """Observe members and VMs, then run one control cycle for each pool."""
        self._components.members.observe()
        rules = self._rules_view.rules
        if rules is None or self._released:
            return
        if self._list_changed:
            self._group_listed_by_pool()
        self._update_controllers(set(rules.pools) | self._components.view.list_pools())
        if self._listed:
            await self._observe_vms(self._listed)
        async with trio.open_nursery() as nursery:
            for pool, controller in self._controllers.items():
                nursery.start_soon(controller.tick, rules, self._listed_by_pool.get(pool, ()))

    async def release(self) -> None:
        """Release all leases, within `RELEASE_TIMEOUT_S`, and stop all control cycles."""
        self._released = True
        with trio.move_on_after(RELEASE_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                for controller in self._controllers.values():
                    nursery.start_soon(controller.release)

    def _mark_list_changed(self) -> None:
        self._list_changed = True

    def _group_listed_by_pool(self) -> None:
        self._list_changed = False
        self._listed = {vm.name: vm for vm in self._fleet_view.list_vms()}
        groups: dict[str, list[VmEntry]] = defaultdict(list)
        for vm in self._listed.values():
            groups[vm.pool].append(vm)
        self._listed_by_pool = groups

    def _update_controllers(self, pools: set[str]) -> None:
        for pool in pools - set(self._controllers):
            self._controllers[pool] = PoolController(pool, self._components)
        for pool in set(self._controllers) - pools:
            self._controllers.pop(pool)

    async def _observe_vms(self, listed: VmList) -> None:
        held_pools = {pool for pool, held in self._controllers.items() if held.is_held()}
        view = self._components.view
        rows = {vm.name: vm for pool in held_pools for vm in view.list_pool(pool)}
        probeable = {name: listed[name] for name in rows if name in listed}
        probed = self._probe_rotation.choose(probeable)
        answers = await probe_vms(probed, self._components.timings.probe_timeout_s)
        accepting = self._probe_rotation.record(probeable, probed, answers)
        incarnations = {name: vm.incarnation for name, vm in rows.items()}
        self._components.health.observe(incarnations, listed, accepting)
