"""Keys of the ASGI scope in which the queue and the team of a request are stored."""

SCOPE_QUEUE = 'comfreywind.queue'
SCOPE_TEAM = 'comfreywind.team'
