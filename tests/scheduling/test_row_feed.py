"""What a feed of the store confirms, and when it asks again."""

from typing import Any

import pytest
import trio

from comfreywind.http.service_contact import ServiceContact
from comfreywind.jobs.job_rules import JobRules
from comfreywind.platform.stored_row import RowPage, StoredRow
from comfreywind.scheduling.row_feed import SLOW_READ_S, RowFeed
from comfreywind.scheduling.rules_follower import RulesFollower
from tests.helpers.trio_clock import TrioClock

FEED_WAIT_S = 0.7
TABLE = 'table'
RULES = JobRules(1)


class SlowRows:
    """A client whose answers to waiting reads arrive `late_s` after the store has sent them.

    The first one has a change if `has_change` is set, and is sent at once.
    """

    feed_wait_s = FEED_WAIT_S

    def __init__(self, late_s: float, has_change: bool) -> None:
        """Set the answers."""
        self.contact = ServiceContact('store', TrioClock())
        self.immediate_reads = 0
        self._late_s = late_s
        self._has_change = has_change

    async def read_partitions(self, table: str, partitions: tuple[str, ...]) -> list[RowPage]:
        """Return empty partitions."""
        return [RowPage((), 1) for _ in partitions]

    async def read_changes(self, table: str, after_version: int) -> RowPage:
        """Return a change at once, or nothing at the end of the wait."""
        rows = (StoredRow(table, '', 'key', b'', 2),) if self._has_change else ()
        await trio.sleep(self._late_s if rows else FEED_WAIT_S + self._late_s)
        self._has_change = False
        return RowPage(rows, 2)

    async def read_changes_now(self, table: str, after_version: int) -> RowPage:
        """Return nothing after a while."""
        self.immediate_reads += 1
        await trio.sleep(1)
        return RowPage((), 2)


async def run_feed(late_s: float, has_change: bool, duration_s: float) -> tuple[float, SlowRows]:
    """Return how old the confirmation is after some time, and the client."""
    client = SlowRows(late_s, has_change)
    rows: Any = client
    feed = RowFeed(rows, TABLE, ('',), _ignore_row, TrioClock())
    started_s = trio.current_time()
    with trio.move_on_after(duration_s):
        await feed.run()
    assert feed.confirmed_s is not None
    return feed.confirmed_s - started_s, client


# Guards against old rules that count as current because an answer without changes came late.
@pytest.mark.parametrize('late_s', [0, 1.4, 4.2])
async def test_late_answer_without_changes(
    autojump_clock: trio.testing.MockClock, late_s: float
) -> None:
    """Confirms the time at which the store sent the answer, not that of its arrival."""
    confirmed_s, _ = await run_feed(late_s, False, FEED_WAIT_S + late_s + 0.01)
    assert confirmed_s == pytest.approx(FEED_WAIT_S)


# Guards against a node that refuses callers after each slow read of large rules, until the next read
# has waited for a change.
@pytest.mark.parametrize(
    ('late_s', 'immediate_reads'), [(SLOW_READ_S - 0.1, 0), (SLOW_READ_S + 0.1, 1)]
)
async def test_read_after_slow_change(
    autojump_clock: trio.testing.MockClock, late_s: float, immediate_reads: int
) -> None:
    """Asks at once, without waiting for a change, whether there was another one meanwhile."""
    _, rows = await run_feed(late_s, True, late_s + 0.1)
    assert rows.immediate_reads == immediate_reads


@pytest.mark.parametrize('apply_limit_s', [2, 3])
async def test_age_of_usable_rules(
    autojump_clock: trio.testing.MockClock, apply_limit_s: float
) -> None:
    """Uses rules for a little less than the operator allows after they were confirmed."""
    rows: Any = SlowRows(0, False)
    follower = RulesFollower(rows, TrioClock(), apply_limit_s=apply_limit_s)
    follower.rules = RULES
    with trio.move_on_after(0.1):
        await follower.run()
    await trio.sleep(apply_limit_s - 0.3)
    assert follower.is_fresh()
    await trio.sleep(0.3)
    assert not follower.is_fresh()


def _ignore_row(row: StoredRow) -> None:
    """Do nothing."""
