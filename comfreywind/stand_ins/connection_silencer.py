"""Makes connections that are open now silent for good, while new ones work."""

from comfreywind.http.asgi_types import Scope

ClientPort = tuple[str, int]


class ConnectionSilencer:
    """Knows the connections seen so far by the caller's address and port."""

    def __init__(self) -> None:
        """Start with no connection seen."""
        self._seen: set[ClientPort] = set()
        self._silent: set[ClientPort] = set()

    def silence_open(self) -> None:
        """Make every connection seen so far silent."""
        self._silent |= self._seen

    def is_silent(self, scope: Scope) -> bool:
        """Return whether the request came over a silent connection; remember the connection."""
        host, port = scope['client']
        client_port = (str(host), int(port))
        self._seen.add(client_port)
        return client_port in self._silent
