"""Runs several calls to the platform concurrently."""

from collections.abc import Awaitable, Callable, Iterable

import trio

from comfreywind.errors import StoreUnavailableError


async def run_concurrently(calls: Iterable[Callable[[], Awaitable[None]]]) -> None:
    """Run all calls to their end, then raise the first StoreUnavailableError if there was any.

    The error is raised as it is, not in an exception group. Any other error ends all calls.
    """
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
