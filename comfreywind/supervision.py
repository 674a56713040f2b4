"""Keeps an unexpected error from ending more than the piece of work in which it came up."""

import logging
from collections.abc import Awaitable, Callable

import trio

from comfreywind.metrics import Metrics

# Long enough that work that fails at once takes up little processor time and few log lines.
RESTART_PAUSE_S = 1.0

log = logging.getLogger('comfreywind.supervision')


async def supervise(name: str, work: Callable[[], Awaitable[None]], metrics: Metrics) -> None:
    """Do the work until it returns; start it again after each unexpected error.

    Cancelling passes through. Each error is logged and counted as `unexpected_errors.NAME`.
    """
    while True:
        try:
            return await work()
        except Exception as error:
            note_unexpected(name, error, metrics)
        await trio.sleep(RESTART_PAUSE_S)


def note_unexpected(name: str, error: Exception, metrics: Metrics) -> None:
    """Log and count an error that the code has no other answer to."""
    log.error('%s: unexpected error', name, exc_info=error)
    metrics.count(f'unexpected_errors.{name}')
