"""Asks the platform to reboot drained VMs."""

import logging
from collections.abc import Collection

from comfreywind.control.control_parts import ControlParts
from comfreywind.decisions.pools.pool_vm import PoolVm, VmState
from comfreywind.errors import PlatformError, VmReplacedError

log = logging.getLogger('comfreywind.control')


class Rebooter:
    """Repeats the reboot call of each VM in state `rebooting` until the VM is back.

    The call names the incarnation to be replaced, so that a repeated or late one changes nothing.
    """

    def __init__(self, pool: str, parts: ControlParts) -> None:
        """Start with no call made."""
        self._pool = pool
        self._parts = parts
        self._called_s: dict[tuple[str, int], float] = {}

    async def call_reboots(self, vms: Collection[PoolVm]) -> None:
        """Call for each VM that is to reboot and was not called for in `reboot_retry_s`."""
        rebooting = {(vm.name, vm.incarnation): vm for vm in vms if vm.state == VmState.REBOOTING}
        self._called_s = {key: at_s for key, at_s in self._called_s.items() if key in rebooting}
        now_s = self._parts.clock.read_monotonic_s()
        for key, vm in rebooting.items():
            age_s = now_s - self._called_s.get(key, float('-inf'))
            if age_s >= self._parts.timings.reboot_retry_s:
                self._called_s[key] = now_s
                await self._call(vm)

    async def _call(self, vm: PoolVm) -> None:
        subject = f'vm/{vm.name}'
        try:
            await self._parts.vm_operations.reboot(vm.name, vm.incarnation)
        except VmReplacedError:
            log.info('VM %s has been rebooted already', vm.name)
        except PlatformError as error:
            log.warning('VM %s: the reboot call failed: %s', vm.name, error)
        else:
            log.info('VM %s of pool %s reboots', vm.name, self._pool)
            self._parts.decisions.record(
                'reboot', subject, 'the VM is drained', incarnation=vm.incarnation, pool=self._pool
            )
