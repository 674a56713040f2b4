"""Runs several calls to the platform at the same time."""

from collections.abc import Awaitable, Callable, Iterable

import trio

from comfreywind.errors import StoreUnavailableError


async def run_concurrently(calls: Iterable[Callable[[], Awaitable[None]]]) -> None:
    """Run all calls; when some fail for want of the store, raise the first such error alone."""
    failures: list[StoreUnavailableError] = []

    async def run(call: Callable[[], Awaitable[None]]) -> None:
        try:
            await call()
        except StoreUnavailableError as error:
            failures.append(error)

    async with trio.open_nursery() as nursery:
        for call in calls:
            nursery.start_soon(run, call)
    if failures:
        raise failures[0]
