"""Stops serving callers without interrupting requests in flight."""

import logging

import trio

from comfreywind.entry.caller_app import CallerApp
from comfreywind.settings.timings import Timings

POLL_INTERVAL_S = 0.02

log = logging.getLogger('comfreywind.entry')


async def stop_serving(caller_app: CallerApp, timings: Timings) -> None:
    """Fail the readiness check, then refuse new requests, and wait until none is in flight.

    For `drain_notice_s` requests are still served, until the load balancer has seen the failed
    check. Their responses close the connection, so that no request arrives on it just when the
    entry closes it. Requests in flight are waited for at most `stop_limit_s`.
    """
    caller_app.leaving = True
    log.info(
        'leaving: the readiness check fails from now on; serving for %s s more',
        timings.drain_notice_s,
    )
    await trio.sleep(timings.drain_notice_s)
    caller_app.stopping = True
    with trio.move_on_after(timings.stop_limit_s) as scope:
        while caller_app.active_count:
            await trio.sleep(POLL_INTERVAL_S)
    if scope.cancelled_caught:
        log.error(
            'stopping with %d requests still in flight after waiting %s s',
            caller_app.active_count,
            timings.stop_limit_s,
        )
