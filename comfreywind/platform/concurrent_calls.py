"""Runs several calls to the platform concurrently."""

from collections.abc import Awaitable, Callable, Iterable

import trio

from comfreywind.errors import StoreUnavailableError


async def run_concurrently(calls: Iterable[Callable[[], Awaitable[None]]]) -> None:
    """Run all calls to their end, then raise the first StoreUnavailableError if there was any.

    The error is raised as it is, not in an exception group. Any other error ends all calls.
    """
    failures = await collect_failures(calls)
    if failures:
        raise next(iter(failures.values()))


async def collect_failures(
    calls: Iterable[Callable[[], Awaitable[None]]],
) -> dict[Callable[[], Awaitable[None]], StoreUnavailableError]:
    """Run all calls to their end; return those that failed with their errors, in that order.

    An error other than StoreUnavailableError ends all calls and is raised.
    """
    failures: dict[Callable[[], Awaitable[None]], StoreUnavailableError] = {}

    async def run(call: Callable[[], Awaitable[None]]) -> None:
        try:
            await call()
        except StoreUnavailableError as error:
            failures[call] = error

    async with trio.open_nursery() as nursery:
        for call in calls:
            nursery.start_soon(run, call)
    return failures
