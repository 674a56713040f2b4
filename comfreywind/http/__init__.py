"""HTTP plumbing shared by all roles: ASGI helpers, server and client."""
