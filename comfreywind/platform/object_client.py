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
        """Use the given client; its timeout applies to each call."""
        self._client = client

    async def write_new(self, name: str, document: object) -> None:
        """Create an object; raise ObjectExistsError when one of that name exists."""
        path = f'/v1/objects/{quote(name, safe="")}'
        reply = await call_store(self._client, 'PUT', path, document, [(b'if-none-match', b'*')])
        if reply.status == STATUS_EXISTS:
            raise ObjectExistsError(name)

    async def write(self, name: str, document: object) -> None:
        """Write an object, replacing any existing one of that name."""
        await call_store(self._client, 'PUT', f'/v1/objects/{quote(name, safe="")}', document)

    async def read(self, name: str) -> object:
        """Return the JSON document of an object; raise ObjectMissingError when there is none."""
        reply = await call_store(self._client, 'GET', f'/v1/objects/{quote(name, safe="")}')
        if reply.status == STATUS_MISSING:
            raise ObjectMissingError(name)
        return reply.read_json()
