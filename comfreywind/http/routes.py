"""Finds the function that serves a method and path."""

import re
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from urllib.parse import unquote

from comfreywind.http.asgi_types import Receive, Scope, Send


@dataclass(frozen=True, slots=True)
class HttpCall:
    """One request as an ASGI app sees it, with the named parts of its path."""

    scope: Scope
    receive: Receive
    send: Send
    path_parts: dict[str, str]


Endpoint = Callable[[HttpCall], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class Route:
    """A method, a path pattern such as `/v1/vms/{name}` and the function that serves it."""

    method: str
    pattern: re.Pattern[str]
    endpoint: Endpoint


def make_route(method: str, path: str, endpoint: Endpoint) -> Route:
    """Return the route; `{name}` in the path matches one segment."""
    expression = re.sub(r'\{(\w+)\}', r'(?P<\1>[^/]+)', path)
    return Route(method, re.compile(f'^{expression}$'), endpoint)


def find_route(routes: list[Route], method: str, path: str) -> tuple[Route, dict[str, str]] | None:
    """Return the first route that fits and the parts of the path, or None."""
    for route in routes:
        match = route.pattern.match(path)
        if match and route.method == method:
            return route, match.groupdict()
    return None


def find_raw_route(
    routes: list[Route], method: str, raw_path: bytes
) -> tuple[Route, dict[str, str]] | None:
    """Return the route of an encoded path; only its parts are decoded, so they may hold slashes."""
    found = find_route(routes, method, raw_path.decode('latin-1'))
    if found is None:
        return None
    route, parts = found
    return route, {name: unquote(part) for name, part in parts.items()}
