"""Client of the users' advice service: which targets may run a step."""

from comfreywind.errors import StoreUnavailableError
from comfreywind.http.client import HttpClient
from comfreywind.platform.store_call import CALL_FAILURES
from comfreywind.settings.address import Address

# A call waits for its turn and for the decision, which takes a time for each target named.
CALL_TIMEOUT_S = 5.0
STATUS_OK = 200


class AdviceClient:
    """Asks for tickets; the service takes one call of a node at a time."""

    def __init__(self, address: Address) -> None:
        """Prepare a connection to the address."""
        self._client = HttpClient(address, CALL_TIMEOUT_S, 1)

    async def ask(self, step_id: str, target_ids: list[str]) -> dict[str, str]:
        """Return the tickets of the targets that may run the step.

        Raises StoreUnavailableError when there is no usable answer.
        """
        question = {'step_id': step_id, 'workers': target_ids}
        try:
            reply = await self._client.call('POST', '/v1/advise', question)
        except CALL_FAILURES as error:
            raise StoreUnavailableError(f'advice on {step_id}: {error!r}') from error
        if reply.status != STATUS_OK:
            raise StoreUnavailableError(f'advice on {step_id}: status {reply.status}')
        return {str(row[0]): str(row[1]) for row in reply.read_json()['approved']}
