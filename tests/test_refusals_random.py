"""Random stores, peers and rules: a caller who was only ever refused must not see its job run."""

import random
from collections.abc import Callable
from typing import Any, cast

import pytest
import trio

from comfreywind.clock import SystemClock
from comfreywind.errors import RowsChangedError, StoreRefusedError, StoreUnavailableError
from comfreywind.http.client import HttpReply
from comfreywind.intake.caller_call import CallerCall
from comfreywind.intake.job_app import JobApp
from comfreywind.intake.job_store import JobStore
from comfreywind.intake.peer_relay import RelayOutcome
from comfreywind.jobs.job_rules import JobRules
from comfreywind.metrics import NoMetrics
from comfreywind.platform.stored_row import RowChange, StoredRow
from tests.helpers.scheduler_harness import QUEUE, TEAM
from tests.test_peer_relay import BODY, JOB_PATH

NODES = 3
ATTEMPTS = 4
SEEDS = 6000
SEEDS_PER_TEST = 1000
WITHOUT_EFFECT = frozenset((429, 503))
HEADERS = {b'host': b'jobs.example', b'authorization': b'Bearer key'}


class Rules:
    """Rules of which the queue, the key or the freshness may go missing at any moment."""

    def __init__(self, generator: random.Random) -> None:
        """Draw from `generator`."""
        self._generator = generator

    @property
    def rules(self) -> JobRules:
        """Return the rules, often without a part of them."""
        queues = {QUEUE.name: QUEUE} if self._generator.random() < 0.8 else {}
        keys = {'key': TEAM} if self._generator.random() < 0.8 else {}
        return JobRules(1, queues=queues, teams_by_key=keys)

    def is_fresh(self) -> bool:
        """Return whether the rules are in force."""
        return self._generator.random() < 0.9


class Table:
    """One row, and the writes that the store may still carry out."""

    def __init__(self) -> None:
        """Start without a row."""
        self.payload: bytes | None = None
        self.late: list[bytes] = []

    def carry_out_late(self) -> None:
        """Carry out what is late, as far as its condition still holds."""
        for payload in self.late:
            self.payload = self.payload or payload


class RandomRows:
    """The client of a store that refuses, loses, delays or forgets calls of this node."""

    def __init__(self, table: Table, generator: random.Random) -> None:
        """Write to `table`."""
        self._table, self._generator = table, generator

    @property
    def reachable(self) -> bool:
        """Return whether the last call was answered."""
        return self._generator.random() < 0.7

    async def commit(self, part: str, changes: list[RowChange], permit: Callable[[], bool]) -> int:
        """Write the row if it does not exist, with a random outcome."""
        await trio.lowlevel.checkpoint()
        (change,) = changes
        outcome = self._generator.choice(('done', 'lost', 'late', 'down', 'refused'))
        if not permit() or outcome == 'refused':
            raise StoreRefusedError('refused')
        if outcome == 'down':
            raise StoreUnavailableError('down')
        if outcome == 'late':
            self._table.late.append(change.payload or b'')
            raise StoreUnavailableError('no answer yet')
        if self._table.payload is not None:
            row = StoredRow(change.table, part, change.key, self._table.payload, 5)
            raise StoreUnavailableError('lost') if outcome == 'lost' else RowsChangedError((row,))
        self._table.payload = change.payload
        if outcome == 'lost':
            raise StoreUnavailableError('lost')
        return 5


class RandomRelay:
    """Hands calls to other nodes, of which some lose the call or the reply."""

    def __init__(self, peers: list[JobApp], generator: random.Random) -> None:
        """Ask up to two of `peers`."""
        self._peers, self._generator = peers, generator

    async def forward(self, call: CallerCall) -> RelayOutcome:
        """Return the reply of the first node that serves the call."""
        may_have_effect = False
        for peer in self._generator.sample(self._peers, min(2, len(self._peers))):
            fate = self._generator.choice(('served', 'served', 'lost', 'away'))
            if fate != 'away':
                reply = await peer._serve(call)
                if fate == 'served' and reply.status not in WITHOUT_EFFECT:
                    return RelayOutcome(HttpReply(reply.status, [], b'{}'), may_have_effect)
            may_have_effect = may_have_effect or fate != 'served'
        return RelayOutcome(None, may_have_effect)


def make_nodes(table: Table, generator: random.Random) -> list[JobApp]:
    """Return nodes that share a store; calls that were handed over once aren't handed on."""

    def make_node(relay: RandomRelay | None) -> JobApp:
        rows = cast('Any', RandomRows(table, generator))
        store = JobStore(rows, 65_536, 120, SystemClock())
        rules, keeper = cast('Any', Rules(generator)), cast('Any', None)
        return JobApp(rules, store, keeper, SystemClock(), NoMetrics(), cast('Any', relay))

    peers = [make_node(None) for _ in range(NODES)]
    return [make_node(RandomRelay(peers, generator)) for _ in range(NODES)]


# Guards against a job that runs although each attempt of its caller was refused (REFUSED).
@pytest.mark.parametrize('first_seed', range(0, SEEDS, SEEDS_PER_TEST))
async def test_refused_jobs_never_run(first_seed: int) -> None:
    """A job is stored only if an attempt was accepted or its outcome was left open."""
    stored = 0
    for seed in range(first_seed, first_seed + SEEDS_PER_TEST):
        generator = random.Random(seed)
        table = Table()
        nodes = make_nodes(table, generator)
        statuses = []
        for _ in range(generator.randint(1, ATTEMPTS)):
            call = CallerCall('POST', JOB_PATH, HEADERS, BODY)
            statuses.append((await generator.choice(nodes)._serve(call)).status)
            if statuses[-1] == 200:
                break
        table.carry_out_late()
        stored += table.payload is not None
        assert table.payload is None or {200, 504} & set(statuses), (seed, statuses)
        assert 200 not in statuses or table.payload is not None, (seed, statuses)
    assert stored
