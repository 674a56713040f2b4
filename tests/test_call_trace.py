"""What the log tells of a call that got no reply in time."""

import pytest

from comfreywind.intake.call_trace import CallTrace


@pytest.mark.parametrize(
    ('steps', 'description'),
    [
        ([], 'nothing'),
        ([('the store', 1)], 'the store 2.00 s'),
        ([('the store', 1), ('node a', 2.5)], 'the store 1.50 s, node a 0.50 s'),
    ],
)
def test_description(steps: list[tuple[str, float]], description: str) -> None:
    """Names each step with its seconds, the last one up to the end of the call."""
    trace = CallTrace()
    for awaited, now_s in steps:
        trace.begin(awaited, now_s)
    assert trace.describe(3) == description
