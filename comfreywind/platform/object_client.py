"""Client of the platform's object store."""

from urllib.parse import quote

from comfreywind.errors import ObjectExistsError, ObjectMissingError
from comfreywind.http.client import HttpClient
from comfreywind.platform.store_call import call_store

STATUS_MISSING = 404
STATUS_EXISTS = 412


class ObjectClient:
    """Writes and reads whole JSON objects."""

    def __init__(self, client: HttpClient) -> None:
        """Use the given client; its timeout holds for each call."""
        self._client = client

    async def write_new(self, name: str, document: object) -> None:
        """Write an object that must not exist; raise ObjectExistsError if it does."""
        path = f'/v1/objects/{quote(name, safe="")}'
        reply = await call_store(self._client, 'PUT', path, document, [(b'if-none-match', b'*')])
        if reply.status == STATUS_EXISTS:
            raise ObjectExistsError(name)

    async def write(self, name: str, document: object) -> None:
        """Write an object, replacing an older one of that name."""
        await call_store(self._client, 'PUT', f'/v1/objects/{quote(name, safe="")}', document)

    async def read(self, name: str) -> object:
        """Return the object's JSON document; raise ObjectMissingError for a missing one."""
        reply = await call_store(self._client, 'GET', f'/v1/objects/{quote(name, safe="")}')
        if reply.status == STATUS_MISSING:
            raise ObjectMissingError(name)
        return reply.read_json()
