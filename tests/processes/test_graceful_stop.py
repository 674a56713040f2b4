"""A planned stop of an entry cuts off no request."""

import math
import signal
import threading
import time
from collections.abc import Iterator

import httpcore
import pytest

from bench.caller import CallerReply, call_entry
from bench.fleet import Fleet, wait_until
from bench.fleet_plan import FleetPlan
from comfreywind.exit_status import ExitStatus

DRAIN_NOTICE_S = 0.5
LOAD_THREADS = 4
CHECK_INTERVAL_S = 0.05
# A balancer that is itself delayed must not send on a check older than the notice it gets.
CHECK_AGE_LIMIT_S = DRAIN_NOTICE_S / 2
LONG_RUN_S = 3
LARGE_BYTES = 3_000_000


class Balancer:
    """Sends requests over kept connections to the entries whose readiness check succeeds."""

    def __init__(self, fleet: Fleet) -> None:
        """Start the checks and the load."""
        self._addresses = list(fleet.caller_addresses)
        self._ready_at_s = dict.fromkeys(self._addresses, time.monotonic())
        self._stopped = threading.Event()
        self.failures: list[str] = []
        self.answered: dict[str, int] = dict.fromkeys(self._addresses, 0)
        targets = [self._check, *[self._send_load] * LOAD_THREADS]
        self._threads = [threading.Thread(target=target) for target in targets]
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """End the load."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _check(self) -> None:
        while not self._stopped.wait(CHECK_INTERVAL_S):
            for address in self._addresses:
                started_s = time.monotonic()
                self._ready_at_s[address] = started_s if is_ready(address) else -math.inf

    def _send_load(self) -> None:
        with httpcore.ConnectionPool() as pool:
            while not self._stopped.is_set():
                for address in self._addresses:
                    if time.monotonic() - self._ready_at_s[address] < CHECK_AGE_LIMIT_S:
                        self._send(pool, address)

    def _send(self, pool: httpcore.ConnectionPool, address: str) -> None:
        url = f'http://{address}/queues/notices/work?duration_s=0.02'
        try:
            status = pool.request('GET', url).status
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException) as error:
            self.failures.append(f'{address}: {error!r}')
            return
        self.answered[address] += 1
        if status != 200:
            self.failures.append(f'{address}: status {status}')


def is_ready(address: str) -> bool:
    """Return whether the readiness check of the entry succeeds."""
    try:
        return call_entry(address, '/health/ready').status == 200
    except (httpcore.NetworkError, httpcore.ProtocolError):
        return False


@pytest.fixture(scope='module')
def fleet() -> Iterator[Fleet]:
    """Run a fleet whose entries fail their readiness check for half a second before they stop."""
    with Fleet(FleetPlan(timings={'drain_notice_s': DRAIN_NOTICE_S})) as running_fleet:
        yield running_fleet


def test_stop_under_load(fleet: Fleet) -> None:
    """Guards against requests cut off or refused by a planned stop, long and large ones as well."""
    entry, address = fleet.entries[2], fleet.caller_addresses[2]
    replies: list[CallerReply] = []

    def send(path: str) -> None:
        replies.append(call_entry(address, path, fleet.keys['rosters']))

    paths = (
        f'/queues/rebuild/work?duration_s={LONG_RUN_S}',
        f'/queues/rebuild/work?duration_s={LONG_RUN_S}&bytes={LARGE_BYTES}&chunks=50',
    )
    long_requests = [threading.Thread(target=send, args=(path,)) for path in paths]
    balancer = Balancer(fleet)
    try:
        wait_until(lambda: balancer.answered[address] > 50, 'load on the entry')
        for thread in long_requests:
            thread.start()
        wait_until(lambda: count_running(fleet) >= len(paths), 'long requests at the target')
        entry.send_signal(signal.SIGTERM)
        stopped_s = time.monotonic()
        wait_until(lambda: not is_ready(address), 'failed readiness check', DRAIN_NOTICE_S)
        wait_until(lambda: read_type(address) == 'entry-stopping', 'refusals', LONG_RUN_S)
        assert entry.wait() == ExitStatus.SUCCESS
        assert time.monotonic() - stopped_s < LONG_RUN_S + 2
    finally:
        balancer.stop()
    for thread in long_requests:
        thread.join()
    assert balancer.failures == []
    assert [reply.status for reply in replies] == [200, 200]
    assert sorted(len(reply.body.partition(b'\n')[2]) for reply in replies) == [0, LARGE_BYTES]


def count_running(fleet: Fleet) -> int:
    """Return how many requests of the team with the long ones run at the targets."""
    return fleet.read_run_log()['running'].get('rosters', 0)


def read_type(address: str) -> str:
    """Return the last part of the type in a refusal."""
    reply = call_entry(address, '/queues/notices/work')
    return '' if reply.status == 200 else reply.body.decode().partition('problem:')[2][:14]
