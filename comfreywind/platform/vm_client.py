"""Client of the platform's VM service: lists VMs, and orders moves and maintenance."""

import enum
import logging
from collections.abc import Callable
from functools import partial
from typing import Any
from urllib.parse import quote

from comfreywind.decisions.transfer_limit import CallProgress
from comfreywind.errors import CallNotPermittedError, StoreUnavailableError
from comfreywind.http.client import HttpClient
from comfreywind.jobs.vm import Vm
from comfreywind.jobs.vm_list import VmList
from comfreywind.platform.amounts import Capacity
from comfreywind.platform.store_call import CALL_FAILURES, DECODING_ERRORS
from comfreywind.platform.wire import HEADER_FENCE, HEADER_HOLDER
from comfreywind.settings.address import Address

CALL_TIMEOUT_S = 1.2
STATUS_OK = 200
# After these statuses the service may have carried out an order nevertheless.
STATUSES_UNKNOWN = frozenset((500, 502, 504))

# Returns whether an order for the VM of that name may be sent now.
VmPermit = Callable[[str], bool]

log = logging.getLogger('comfreywind.vms')


class VmOrderAnswer(enum.StrEnum):
    """Result of an order; after UNKNOWN the service may still carry it out.

    REFUSED means that the order had no effect: the service refused it or it was not sent.
    """

    DONE = 'done'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'


class VmClient:
    """Reads the list of VMs, and orders moves and maintenance with the holder's fence."""

    def __init__(self, address: Address, permit: VmPermit) -> None:
        """Prepare a client; orders are sent only if `permit` returns True for their VM."""
        self._permit = permit
        self._client = HttpClient(address, CALL_TIMEOUT_S, 4)

    async def read_vms(self) -> VmList:
        """Return all VMs; raise StoreUnavailableError when the list can't be read."""
        vms: list[Vm | None] = []
        token: str | None = ''
        while token is not None:
            query = f'?page_token={token}' if token else ''
            page, token = await self._read_page(f'/v1/machines{query}')
            vms.extend(page)
        return VmList(tuple(vm for vm in vms if vm is not None), complete=None not in vms)

    async def move(self, vm: str, pool: str, holder: str, fence: int) -> VmOrderAnswer:
        """Order the move of a VM to another pool; all runs on it end at once."""
        return await self._order('/v1/machine-move', {'machine': vm, 'pool': pool}, holder, fence)

    async def maintain(self, vm: str, wave: int, holder: str, fence: int) -> VmOrderAnswer:
        """Order the maintenance of a VM in a wave; all runs on it end at once."""
        order = {'machine': vm, 'rollout_wave': wave}
        return await self._order('/v1/machine-upkeep', order, holder, fence)

    async def _read_page(self, path: str) -> tuple[list[Vm | None], str | None]:
        """Return the VMs of a page and the token of the next one; None stands for odd VMs."""
        try:
            reply = await self._client.call('GET', path, progress=CallProgress(is_bulk_read=True))
        except CALL_FAILURES as error:
            raise StoreUnavailableError(f'list of VMs: no reply: {error!r}') from error
        if reply.status != STATUS_OK:
            raise StoreUnavailableError(f'list of VMs: status {reply.status}')
        try:
            machines, token = _split_page(reply.read_json())
        except DECODING_ERRORS as error:
            raise StoreUnavailableError(f"list of VMs can't be decoded: {error!r}") from error
        return [_decode_vm(machine) for machine in machines], quote(
            str(token), safe=''
        ) if token else None

    async def _order(
        self, path: str, order: dict[str, Any], holder: str, fence: int
    ) -> VmOrderAnswer:
        headers = [(HEADER_HOLDER, holder.encode()), (HEADER_FENCE, str(fence).encode())]
        permit = partial(self._permit, order['machine'])
        try:
            reply = await self._client.call('POST', path, order, headers, permit)
        except CallNotPermittedError as error:
            log.info('%s of VM %s: order not sent: %s', path, order['machine'], error)
            return VmOrderAnswer.REFUSED
        except CALL_FAILURES as error:
            log.info('%s of VM %s: no reply, outcome unknown: %r', path, order['machine'], error)
            return VmOrderAnswer.UNKNOWN
        if reply.status == STATUS_OK:
            return VmOrderAnswer.DONE
        log.info(
            '%s of VM %s: not confirmed, status %d: %r',
            path,
            order['machine'],
            reply.status,
            reply.body[:80],
        )
        unknown = reply.status in STATUSES_UNKNOWN
        return VmOrderAnswer.UNKNOWN if unknown else VmOrderAnswer.REFUSED


def _split_page(document: dict[str, Any]) -> tuple[list[Any], object]:
    return list(document['machines']), document.get('next_token')


def _decode_vm(machine: dict[str, Any]) -> Vm | None:
    """Return the VM, or None, and log it, when its entry can't be read."""
    try:
        return _make_vm(machine)
    except DECODING_ERRORS as error:
        log.info('VM of the list is ignored, its entry is %.80r: %r', machine, error)
        return None


def _make_vm(machine: dict[str, Any]) -> Vm:
    return Vm(
        name=str(machine['machine']),
        pool=str(machine['pool']),
        up=machine['state'] == 'up',
        data_centre=str(machine.get('zone', '')),
        labels=frozenset(machine.get('labels') or ()),
        capacity=Capacity.model_validate(machine.get('capacity') or {}).to_resources(),
        target_id=str(machine.get('id') or ''),
        in_maintenance=machine['state'] == 'upkeep',
    )
