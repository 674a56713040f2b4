"""Client of the platform's VM list, through which VMs are also rebooted."""

from urllib.parse import quote

from comfreywind.errors import StoreUnavailableError, VmReplacedError
from comfreywind.http.client import HttpClient
from comfreywind.platform.store_call import call_store
from comfreywind.platform.vm_entry import VmEntry
from comfreywind.settings.address import Address

STATUS_ACCEPTED = 202
STATUS_NOT_MODIFIED = 304
STATUS_PRECONDITION_FAILED = 412


class VmListClient:
    """Reads the list of VMs, which lags behind the actual state, and requests reboots."""

    def __init__(self, client: HttpClient) -> None:
        """Use the given client; its timeout applies to each call."""
        self._client = client
        self._entity_tag = b''

    async def read_vms(self) -> tuple[VmEntry, ...] | None:
        """Return the VMs on the list, or None when it has not changed since the last read.

        A conditional request with the entity tag (RFC 9110 section 13.1.2) saves most of the
        traffic: a list of 7,100 VMs is larger than a megabyte and changes about once in 50 s.
        """
        condition = [(b'if-none-match', self._entity_tag)] if self._entity_tag else []
        reply = await call_store(self._client, 'GET', '/v1/vms', headers=condition)
        if reply.status == STATUS_NOT_MODIFIED:
            return None
        vms = tuple(_parse_vm(vm) for vm in reply.read_json()['vms'])
        self._entity_tag = reply.find_header(b'etag')
        return vms

    async def reboot(self, name: str, incarnation: int) -> None:
        """Request the reboot of a VM if it still has the incarnation (If-Match, RFC 9110).

        Raises VmReplacedError when it has another one: a delayed call must not reboot a VM that has
        already come back. Raises StoreUnavailableError when the outcome is unknown.
        """
        condition = [(b'if-match', f'"{incarnation}"'.encode())]
        path = f'/v1/vms/{quote(name, safe="")}/reboot'
        reply = await call_store(self._client, 'POST', path, headers=condition)
        if reply.status == STATUS_PRECONDITION_FAILED:
            raise VmReplacedError(f'VM {name} no longer has incarnation {incarnation}')
        if reply.status != STATUS_ACCEPTED:
            raise StoreUnavailableError(f'reboot of VM {name}: unexpected status {reply.status}')


def _parse_vm(vm: dict[str, object]) -> VmEntry:
    address = Address(str(vm['address']), int(str(vm['port'])))
    return VmEntry(
        name=str(vm['name']),
        address=address,
        data_centre=str(vm['data_centre']),
        rack=str(vm['rack']),
        pool=str(vm['pool']),
        state='leaving' if vm['state'] == 'leaving' else 'live',
        incarnation=int(str(vm['incarnation'])),
    )
