"""Polls the platform's VM list."""

import logging

import trio

from comfreywind.entry.fleet_view import FleetView
from comfreywind.errors import PlatformError
from comfreywind.platform.vm_list_client import VmListClient

log = logging.getLogger('comfreywind.fleet')


async def poll_vm_list(client: VmListClient, fleet_view: FleetView, interval_s: float) -> None:
    """Read the list every `interval_s` seconds until cancelled; a failed read keeps the old one."""
    while True:
        try:
            await _poll_once(client, fleet_view)
        except PlatformError as error:
            log.warning("can't read the VM list, keeping the last one: %s", error)
        await trio.sleep(interval_s)


async def _poll_once(client: VmListClient, fleet_view: FleetView) -> None:
    vms = await client.read_vms()
    if vms is not None:
        fleet_view.apply_vm_list(vms)
