"""Runs the platform stand-in."""

import trio

from comfreywind.clock import SystemClock
from comfreywind.http.server import serve_app
from comfreywind.logs import configure_logs
from comfreywind.settings.platform_stand_in import PlatformStandInSettings
from comfreywind.signals import set_on_termination
from comfreywind.stand_ins.platform_app import PlatformApp

GRACEFUL_TIMEOUT_S = 1


async def run_platform(settings: PlatformStandInSettings) -> None:
    """Serve the platform's services until the process is told to end."""
    configure_logs(settings.log_format)
    vms = [_make_vm_document(vm.model_dump()) for vm in settings.vms]
    app = PlatformApp(SystemClock(), vms, settings.vm_list_lag_s, settings.reboot_s)
    shutdown = trio.Event()
    async with trio.open_nursery() as nursery:
        await nursery.start(set_on_termination, shutdown)
        await serve_app(app, settings.address, shutdown, GRACEFUL_TIMEOUT_S)
        nursery.cancel_scope.cancel()


def _make_vm_document(vm: dict[str, object]) -> dict[str, object]:
    host, _, port = str(vm['address']).rpartition(':')
    return {**vm, 'address': host, 'port': int(port)}
