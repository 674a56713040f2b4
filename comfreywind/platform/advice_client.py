"""Client of the platform's advice service, which decides which targets may run a step."""

from comfreywind.errors import StoreUnavailableError
from comfreywind.http.client import HttpClient
from comfreywind.platform.store_call import CALL_FAILURES, DECODING_ERRORS
from comfreywind.settings.address import Address

# Covers the wait for earlier calls and the decision, whose duration grows with the number of
# targets named in the call.
CALL_TIMEOUT_S = 5.0
STATUS_OK = 200


class AdviceClient:
    """Requests tickets for starts; the service serves one call of a node at a time."""

    def __init__(self, address: Address) -> None:
        """Prepare a client with a single connection to the address."""
        self._client = HttpClient(address, CALL_TIMEOUT_S, 1)

    async def request_tickets(self, step_id: str, target_ids: list[str]) -> dict[str, str]:
        """Return a ticket for each of the targets that may run the step, by target id.

        Raises StoreUnavailableError without a reply that can be read, or with a status other than
        200.
        """
        request = {'step_id': step_id, 'workers': target_ids}
        try:
            reply = await self._client.call('POST', '/v1/advise', request)
        except CALL_FAILURES as error:
            raise StoreUnavailableError(f'advice on step {step_id}: no reply: {error!r}') from error
        if reply.status != STATUS_OK:
            raise StoreUnavailableError(f'advice on step {step_id}: status {reply.status}')
        try:
            return {str(row[0]): str(row[1]) for row in reply.read_json()['approved']}
        except DECODING_ERRORS as error:
            raise StoreUnavailableError(
                f"advice on step {step_id} can't be decoded: {error!r}"
            ) from error
