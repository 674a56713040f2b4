"""Tests which members a drain waits for."""

from typing import Any, cast

import pytest

from comfreywind.control.control_view import ControlView
from comfreywind.control.member_watch import MemberWatch
from comfreywind.platform.changes import Changes
from comfreywind.platform.row import Row
from comfreywind.platform.table_names import TABLE_MEMBERS
from tests.control.test_racing_controllers import HubWithoutPeers
from tests.helpers.manual_clock import ManualClock

MEMBER_CHANGES = (
    # Name, new row of a member that never sent a heartbeat, whether its work may still run.
    ('renewed', {'renewal_number': 2, 'fenced': False}, False),
    ('fenced', {'renewal_number': 1, 'fenced': True}, True),
    ('gone', None, True),
)


@pytest.mark.parametrize(('name', 'fields', 'may_run'), MEMBER_CHANGES)
def test_unheard_member(name: str, fields: dict[str, object] | None, may_run: bool) -> None:
    """A member that was fenced before its first heartbeat may still have work running.

    If its loss were not recorded, a planned stop would not wait and would interrupt that work.
    """
    clock = ManualClock()
    view = ControlView(clock)
    watch = MemberWatch('a', cast(Any, HubWithoutPeers()), view, dict, clock, silence_limit_s=1)
    started_s = clock.read_monotonic_s()
    rows = (
        Row(TABLE_MEMBERS, 'a', 1, {'renewal_number': 1, 'fenced': False}),
        Row(TABLE_MEMBERS, 'b', 1, {'renewal_number': 1, 'fenced': False}),
    )
    view.apply_changes(Changes(2, rows))
    watch.observe()
    assert [report.sequence for report in watch.read_reports('vm')] == [2, None]
    clock.advance(100)
    view.apply_changes(Changes(3, (Row(TABLE_MEMBERS, 'b', 2, fields),)))
    watch.observe()
    assert len(watch.read_reports('vm')) == (1 if may_run else 2), name
    assert watch.unreported_since_s == started_s + (100 if may_run else 0)
