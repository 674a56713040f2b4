"""Calls to a node that the store refuses or that is cut off from it.

Pattern: the platform's store turns a third of the nodes away for some seconds in a burst. Their
callers got 502 or 504 for jobs that had reached no one, which they can't safely submit again.
"""

import random
from collections.abc import Mapping
from typing import Any, cast

import pytest
import trio

from comfreywind.clock import Clock, SystemClock
from comfreywind.decisions.peer_choice import (
    PEER_LIMIT,
    PEER_MEMORY_S,
    PEER_PAUSE_S,
    PeerReplies,
    choose_peers,
)
from comfreywind.errors import StoreRefusedError, StoreUnavailableError
from comfreywind.http.client import HttpReply
from comfreywind.intake.caller_call import CallerCall
from comfreywind.intake.job_app import JobApp
from comfreywind.intake.job_store import JobStore
from comfreywind.intake.peer_relay import (
    LATE_REPLY_S,
    RELAY_TIMEOUT_S,
    PeerRelay,
    RelayOutcome,
)
from comfreywind.intake.scarcity_gate import ScarcityGate
from comfreywind.jobs.job_rules import JobRules
from comfreywind.metrics import NoMetrics
from comfreywind.node.peer_directory import decode_node, encode_node
from comfreywind.scheduling.rules_follower import RulesFollower
from comfreywind.scheduling.term_keeper import TermKeeper
from comfreywind.settings.address import Address
from tests.helpers.scheduler_harness import QUEUE, TEAM
from tests.helpers.trio_clock import TrioClock

JOB_PATH = '/rebuild/00000000000000a1'
BODY = b'{"spec":"x","steps":[{"count":1,"cpu":500,"mem_mb":10,"estimate_ms":900}]}'
ACCEPTED = HttpReply(200, [], b'{"state":"queued"}')
ADDRESSES = {f'node-{number}': Address('127.0.0.1', number) for number in range(1, 6)}


class FakeRules:
    """Rules with one queue that is open to all."""

    def __init__(self, fresh: bool) -> None:
        """Set whether the rules were confirmed lately."""
        self.rules = JobRules(1, queues={QUEUE.name: QUEUE}, teams_by_key={'key': TEAM})
        self._fresh = fresh

    def is_fresh(self) -> bool:
        """Return whether the rules were confirmed lately."""
        return self._fresh


class FakeStore:
    """A store of jobs whose every call fails with the same error."""

    row_limit_bytes = 65_536

    def __init__(self, reachable: bool, error: Exception | None) -> None:
        """Set whether the last call had an answer, and the error of the next one."""
        self.reachable = reachable
        self.calls = 0
        self._error = error

    async def accept(self, *arguments: object) -> bool:
        """Store a job, or raise the error."""
        self.calls += 1
        if self._error is not None:
            raise self._error
        return True


class FakeRelay:
    """A relay with one answer for all calls."""

    def __init__(self, outcome: RelayOutcome) -> None:
        """Set the answer."""
        self.calls: list[CallerCall] = []
        self._outcome = outcome

    async def forward(self, call: CallerCall) -> RelayOutcome:
        """Return the answer."""
        self.calls.append(call)
        return self._outcome


async def post_job(
    store: object, relay: FakeRelay | None, fresh: bool = True, gate: ScarcityGate | None = None
) -> dict[str, Any]:
    """Return the start of the reply to a submitted job."""
    app = JobApp(
        cast('RulesFollower', FakeRules(fresh)),
        cast('JobStore', store),
        cast('TermKeeper', None),
        SystemClock(),
        NoMetrics(),
        cast('PeerRelay | None', relay),
        gate,
    )
    sent: list[dict[str, Any]] = []

    async def receive() -> dict[str, Any]:
        return {'type': 'http.request', 'body': BODY, 'more_body': False}

    async def send(message: dict[str, Any]) -> None:
        sent.append(message)

    headers = [(b'host', b'jobs.example'), (b'authorization', b'Bearer key')]
    scope = {'type': 'http', 'method': 'POST', 'path': JOB_PATH, 'headers': headers}
    await app(scope, receive, send)
    return sent[0]


UNKNOWN = StoreUnavailableError('connection reset')
REFUSED = StoreRefusedError('status 503')
SERVED = RelayOutcome(ACCEPTED, may_have_effect=False)
NOBODY = RelayOutcome(None, may_have_effect=False)
SILENCE = RelayOutcome(None, may_have_effect=True)


@pytest.mark.parametrize(
    ('reachable', 'fresh', 'error', 'outcome', 'status', 'own_calls'),
    [
        pytest.param(True, True, None, SERVED, 200, 1, id='store answers'),
        pytest.param(True, True, UNKNOWN, SERVED, 200, 1, id='reset, a peer stores it'),
        pytest.param(True, True, REFUSED, SERVED, 200, 1, id='refused, a peer stores it'),
        pytest.param(True, True, UNKNOWN, NOBODY, 504, 1, id='reset, no peer'),
        pytest.param(True, True, REFUSED, NOBODY, 503, 1, id='refused, no peer'),
        pytest.param(True, True, REFUSED, SILENCE, 504, 1, id='refused, a peer is silent'),
        pytest.param(False, True, UNKNOWN, SERVED, 200, 0, id='cut off, a peer stores it'),
        pytest.param(False, True, UNKNOWN, NOBODY, 503, 0, id='cut off, no peer'),
        pytest.param(False, True, UNKNOWN, SILENCE, 504, 0, id='cut off, a peer is silent'),
        pytest.param(True, False, None, SERVED, 200, 0, id='old rules, a peer stores it'),
    ],
)
async def test_submission_at_a_node_without_store(
    reachable: bool,
    fresh: bool,
    error: Exception | None,
    outcome: RelayOutcome,
    status: int,
    own_calls: int,
) -> None:
    """A job is stored by another node, or refused as not run only if nobody can have stored it."""
    store = FakeStore(reachable, error)
    reply = await post_job(store, FakeRelay(outcome), fresh)
    assert reply['status'] == status
    assert store.calls == own_calls
    assert ((b'retry-after', b'1') in reply['headers']) == (status == 503)


@pytest.mark.parametrize(
    ('reachable', 'error', 'status', 'own_calls'),
    [
        pytest.param(True, REFUSED, 503, 1, id='refused'),
        pytest.param(True, UNKNOWN, 504, 1, id='reset'),
        pytest.param(False, UNKNOWN, 503, 0, id='known to be out of reach'),
        pytest.param(True, None, 200, 1, id='served'),
    ],
)
async def test_relayed_call(
    reachable: bool, error: Exception | None, status: int, own_calls: int
) -> None:
    """A node that gets a relayed call hands it to no other node, and refuses what can't be stored.

    Seen on villacres-quito-grown inc-f7e6: the whole store reset calls for 5 s, and each call was
    tried by a second node, so that its outcome was not known.
    """
    store = FakeStore(reachable, error)
    assert (await post_job(store, None))['status'] == status
    assert store.calls == own_calls


class ScriptedRelay(PeerRelay):
    """A relay whose peers answer as told: a status, or None for no answer."""

    def __init__(self, statuses: Mapping[str, int | None], clock: Clock | None = None) -> None:
        """Set the answers by peer."""
        super().__init__(
            lambda: {name: ADDRESSES[name] for name in statuses},
            clock or SystemClock(),
            NoMetrics(),
        )
        self.asked: list[str] = []
        self._statuses = statuses

    async def _ask(self, address: Address, call: CallerCall) -> HttpReply:
        name = f'node-{address.port}'
        self.asked.append(name)
        status = self._statuses[name]
        if status is None:
            raise trio.TooSlowError
        return HttpReply(status, [], b'{}')


@pytest.mark.parametrize(
    ('statuses', 'status', 'may_have_effect'),
    [
        pytest.param({'node-1': 200}, 200, False, id='served'),
        pytest.param({'node-1': 404}, 404, False, id='no such queue'),
        pytest.param({'node-1': 503, 'node-2': 503}, None, False, id='refused'),
        pytest.param({'node-1': 503, 'node-2': 429}, 429, False, id='refused for scarcity'),
        pytest.param({'node-1': None, 'node-2': 503}, None, True, id='one silent, one refuses'),
        pytest.param({'node-1': 503, 'node-2': None}, None, True, id='one silent'),
        pytest.param({'node-1': 504}, None, True, id='one does not know'),
        pytest.param(
            {'node-1': 504, 'node-2': 503}, None, True, id='one does not know, one refuses'
        ),
        pytest.param({}, None, False, id='no peers'),
    ],
)
async def test_relay(
    statuses: dict[str, int | None], status: int | None, may_have_effect: bool
) -> None:
    """Peers are asked until one serves the call; a missing answer makes the outcome unknown."""
    outcome = await ScriptedRelay(statuses).forward(CallerCall('POST', JOB_PATH, {}, BODY))
    assert (outcome.reply.status if outcome.reply else None) == status
    assert outcome.may_have_effect == may_have_effect


async def test_declining_peers_are_not_asked_at_once_again() -> None:
    """While the whole store is down, calls aren't multiplied by the number of peers."""
    relay = ScriptedRelay(dict.fromkeys(ADDRESSES, 503))
    for _ in range(4):
        await relay.forward(CallerCall('POST', JOB_PATH, {}, BODY))
    assert len(relay.asked) == len(ADDRESSES)


async def test_refusal_of_one_job_is_no_decline() -> None:
    """A peer that refuses a job of one team for scarcity must still be asked for those of others."""
    relay = ScriptedRelay({'node-1': 429})
    for _ in range(3):
        await relay.forward(CallerCall('POST', JOB_PATH, {}, BODY))
    assert len(relay.asked) == 3


# Guards against calls that wait for one node after the other of which most have the same trouble,
# while a few nodes would serve them (LOST on villacres-quito-grown: 36 of 42 nodes had old rules).
@pytest.mark.parametrize('last_status', [200, 410])
async def test_peer_that_serves_is_asked_first(
    autojump_clock: trio.testing.MockClock, last_status: int
) -> None:
    """Asks the one node of five that has served a call, also when the others may be asked again."""
    statuses: dict[str, int | None] = dict.fromkeys(ADDRESSES, 503)
    statuses['node-4'] = last_status
    relay = ScriptedRelay(statuses, TrioClock())
    call = CallerCall('GET', JOB_PATH, {}, b'')
    for _ in ADDRESSES:
        await relay.forward(call)
    await trio.sleep(1.5 * PEER_PAUSE_S)
    relay.asked.clear()
    for _ in range(10):
        await relay.forward(call)
    assert relay.asked == ['node-4'] * 10


@pytest.mark.parametrize(
    ('replies', 'chosen'),
    [
        pytest.param({'a': PeerReplies(99)}, ['b', 'a'], id='one is not known'),
        pytest.param({'b': PeerReplies(99), 'a': PeerReplies(0, 95)}, ['b', 'a'], id='served'),
        pytest.param({'b': PeerReplies(98, 97), 'a': PeerReplies(0, 95)}, ['b', 'a'], id='in turn'),
        pytest.param({'a': PeerReplies(90, 95)}, ['b', 'a'], id='served, then declined'),
        pytest.param({'a': PeerReplies(98.9, 99.5)}, ['b'], id='declined just now'),
        pytest.param(
            {'a': PeerReplies(declined_s=100 - PEER_PAUSE_S)}, ['b', 'a'], id='pause over'
        ),
        pytest.param(
            {'a': PeerReplies(declined_s=99.5), 'b': PeerReplies(declined_s=99.5)}, [], id='nobody'
        ),
    ],
)
def test_order_of_peers(replies: dict[str, PeerReplies], chosen: list[str]) -> None:
    """Nodes that served lately come before those that declined, after one that is not known."""
    for seed in range(8):
        assert choose_peers(['a', 'b'], replies, 100, random.Random(seed)) == chosen


def test_order_of_peers_forgets() -> None:
    """What a node did long ago gives it no place before the others."""
    replies = {'a': PeerReplies(served_s=0), 'b': PeerReplies(declined_s=0)}
    orders = {
        tuple(choose_peers(['a', 'b'], replies, PEER_MEMORY_S, random.Random(seed)))
        for seed in range(16)
    }
    assert orders == {('a', 'b'), ('b', 'a')}


async def test_calls_spread_over_serving_peers() -> None:
    """Calls of a node that is cut off don't all go to the first node that served one."""
    relay = ScriptedRelay(dict.fromkeys(ADDRESSES, 200))
    for _ in range(40):
        await relay.forward(CallerCall('GET', JOB_PATH, {}, b''))
    shares = [relay.asked.count(name) for name in ADDRESSES]
    assert sum(share > 0 for share in shares) >= PEER_LIMIT
    assert max(shares) < 30


# Guards against callers with little time left that wait in turn for the same silent node.
async def test_silent_peer_is_remembered(autojump_clock: trio.testing.MockClock) -> None:
    """Asks another node after one that kept a call until the caller's time was over."""
    asked: list[Address] = []

    class SilentRelay(PeerRelay):
        async def _ask(self, address: Address, call: CallerCall) -> HttpReply:
            asked.append(address)
            await trio.sleep(RELAY_TIMEOUT_S)
            raise trio.TooSlowError

    relay = SilentRelay(lambda: ADDRESSES, TrioClock(), NoMetrics())
    for _ in range(3):
        with trio.move_on_after(LATE_REPLY_S):
            await relay.forward(CallerCall('GET', JOB_PATH, {}, b''))
    assert len(set(asked)) == 3


@pytest.mark.parametrize(('left_s', 'sent_ms'), [(10, 800), (0.25, 250), (-1, 0)])
async def test_deadline_of_relayed_call(
    autojump_clock: trio.testing.MockClock, left_s: float, sent_ms: int
) -> None:
    """Tells the other node how long its reply is waited for."""
    relay = PeerRelay(dict, TrioClock(), NoMetrics())
    call = CallerCall('GET', JOB_PATH, {}, b'', trio.current_time() + left_s)
    assert int(relay._format_deadline(call)) == pytest.approx(sent_ms, abs=1)


def test_peers_are_limited() -> None:
    """A caller waits for a few nodes only, however large the fleet is."""
    chosen = choose_peers([f'n{number}' for number in range(60)], {}, 0, random.Random(1))
    assert len(set(chosen)) == PEER_LIMIT


def test_row_of_a_node() -> None:
    """Another node reads the address that a node has written."""
    address = Address('10.0.0.1', 7000)
    assert decode_node(encode_node(address, 12.5)) == (address, 12.5)
