"""Client of the platform's VM list."""

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
    """Reads the lagging list of VMs and asks for reboots."""

    def __init__(self, client: HttpClient) -> None:
        """Use the given client; its timeout holds for each call."""
        self._client = client
        self._entity_tag = b''

    async def read_vms(self) -> tuple[VmEntry, ...] | None:
        """Return the VMs on the list, or None when it has not changed since the last read.

        The entity tag (RFC 9110 section 13.1.2) saves most of the traffic: at 7,100 VMs a list has
        more than a megabyte and changes about once in 50 s.
        """
        condition = [(b'if-none-match', self._entity_tag)] if self._entity_tag else []
        reply = await call_store(self._client, 'GET', '/v1/vms', headers=condition)
        if reply.status == STATUS_NOT_MODIFIED:
            return None
        vms = tuple(_parse_vm(vm) for vm in reply.read_json()['vms'])
        self._entity_tag = reply.find_header(b'etag')
        return vms

    async def reboot(self, name: str, incarnation: int) -> None:
        """Ask the platform to reboot the VM if it still has the incarnation (RFC 9110 If-Match).

        Raises VmReplacedError when it has another one, so that a late call does not stop a VM that
        has come back; StoreUnavailableError when the outcome is not known.
        """
        condition = [(b'if-match', f'"{incarnation}"'.encode())]
        path = f'/v1/vms/{quote(name, safe="")}/reboot'
        reply = await call_store(self._client, 'POST', path, headers=condition)
        if reply.status == STATUS_PRECONDITION_FAILED:
            raise VmReplacedError(f'VM {name} no longer has incarnation {incarnation}')
        if reply.status != STATUS_ACCEPTED:
            raise StoreUnavailableError(f'reboot of {name}: status {reply.status}')


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
