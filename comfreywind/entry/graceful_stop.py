"""Stops serving callers without cutting off a request."""

import logging

import trio

from comfreywind.entry.caller_app import CallerApp
from comfreywind.settings.timings import Timings

POLL_INTERVAL_S = 0.02

log = logging.getLogger('comfreywind.entry')


async def stop_serving(caller_app: CallerApp, timings: Timings) -> None:
    """Fail the readiness check, then refuse requests, and return when none is in flight.

    Requests are served until the balancer has had `drain_notice_s` to see the failed check. Their
    responses close the connection, so that no request arrives on it when the entry closes it.
    """
    caller_app.leaving = True
    log.info('leaving: serving for %s s more', timings.drain_notice_s)
    await trio.sleep(timings.drain_notice_s)
    caller_app.stopping = True
    with trio.move_on_after(timings.stop_limit_s) as scope:
        while caller_app.active_count:
            await trio.sleep(POLL_INTERVAL_S)
    if scope.cancelled_caught:
        log.error('%d requests did not end in %s s', caller_app.active_count, timings.stop_limit_s)
