"""Requests reboots of drained VMs from the platform."""

import logging
from collections.abc import Collection

from comfreywind.control.control_parts import ControlComponents
from comfreywind.decisions.pools.pool_vm import PoolVm, VmState
from comfreywind.errors import PlatformError, VmReplacedError

log = logging.getLogger('comfreywind.control')


class Rebooter:
    """Repeats the reboot call for each VM in state `rebooting` until the VM leaves that state.

    The call names the incarnation to replace, so a repeated or late call has no effect.
    """

    def __init__(self, pool: str, components: ControlComponents) -> None:
        """Start without recorded calls."""
        self._pool = pool
        self._components = components
        self._called_s: dict[tuple[str, int], float] = {}

    async def request_reboots(self, vms: Collection[PoolVm]) -> None:
        """Call for each VM to reboot unless the last call was less than `reboot_retry_s` ago."""
        rebooting = {(vm.name, vm.incarnation): vm for vm in vms if vm.state == VmState.REBOOTING}
        self._called_s = {key: at_s for key, at_s in self._called_s.items() if key in rebooting}
        now_s = self._components.clock.read_monotonic_s()
        for key, vm in rebooting.items():
            age_s = now_s - self._called_s.get(key, float('-inf'))
            if age_s >= self._components.timings.reboot_retry_s:
                self._called_s[key] = now_s
                await self._request_reboot(vm)

    async def _request_reboot(self, vm: PoolVm) -> None:
        subject = f'vm/{vm.name}'
        try:
            await self._components.vm_operations.reboot(vm.name, vm.incarnation)
        except VmReplacedError:
            log.info(
                'VM %s: reboot call has no effect, the incarnation was already replaced', vm.name
            )
        except PlatformError as error:
            log.warning(
                'VM %s: reboot call failed, will retry while the VM is rebooting: %s',
                vm.name,
                error,
            )
        else:
            log.info('VM %s of pool %s: the platform accepted the reboot call', vm.name, self._pool)
            self._components.decisions.record(
                'reboot', subject, 'the VM is drained', incarnation=vm.incarnation, pool=self._pool
            )
