"""Keys under which the callers' side notes facts of a request in its ASGI scope."""

SCOPE_QUEUE = 'comfreywind.queue'
SCOPE_TEAM = 'comfreywind.team'
