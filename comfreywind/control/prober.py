"""Probes VMs by opening TCP connections."""

from collections.abc import Iterable

import trio

from comfreywind.platform.vm_entry import VmEntry

MAX_CONCURRENT_PROBES = 128


async def probe_vms(vms: Iterable[VmEntry], timeout_s: float) -> frozenset[str]:
    """Return the names of the VMs that accept a TCP connection within the timeout."""
    accepting: set[str] = set()
    limiter = trio.CapacityLimiter(MAX_CONCURRENT_PROBES)

    async def probe(vm: VmEntry) -> None:
        async with limiter:
            if await _accepts_connection(vm, timeout_s):
                accepting.add(vm.name)

    async with trio.open_nursery() as nursery:
        for vm in vms:
            nursery.start_soon(probe, vm)
    return frozenset(accepting)


async def _accepts_connection(vm: VmEntry, timeout_s: float) -> bool:
    with trio.move_on_after(timeout_s):
        try:
            stream = await trio.open_tcp_stream(vm.address.host, vm.address.port)
        except OSError:
            return False
        await stream.aclose()
        return True
    return False
