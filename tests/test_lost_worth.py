"""The tables of the worth that a day lost."""

import pytest

from bench.lost_worth import (
    Loss,
    format_report,
    list_class_losses,
    list_part_losses,
    list_price_losses,
    list_window_losses,
)

REPORT = {
    'G': 0.5,
    'parts': [['whole day', 0.6, 0.9], ['worst windows', 0.4, 0.5]],
    'prices': [['calls', 10, 0.001], ['moves', 148, 0.04], ['VM seconds', 1028, 0.25]],
    'windows': [
        {
            'name': str(2 * n),
            'n': 4,
            'late': n,
            'refused': 0,
            'failed': 0,
            'worth': worth,
            'p99_ms': 1500,
        }
        for n, worth in enumerate((1.0, 0.4, None, 0.8, 0.9, 0.7, 0.6))
    ],
    'classes': [
        {'name': 'quote', 'n': 9, 'late': 1, 'worth': 0.95},
        {'name': 'survey', 'n': 3, 'late': 2, 'worth': 0.5},
    ],
}


def test_parts_are_weighted() -> None:
    """The losses of the parts add up to what the day lost before prices."""
    losses = {loss.subject: round(loss.lost, 9) for loss in list_part_losses(REPORT)}
    assert losses == {'whole day': 0.06, 'worst windows': 0.2}


@pytest.mark.parametrize(
    ('losses', 'subjects'),
    [
        (list_price_losses(REPORT), ['VM seconds', 'moves']),
        (
            list_window_losses(REPORT),
            ['from 2 s', 'from 12 s', 'from 10 s', 'from 6 s', 'from 8 s'],
        ),
        (list_class_losses(REPORT), ['survey', 'quote']),
    ],
    ids=['prices', 'windows', 'kinds of request'],
)
def test_worst_first(losses: list[Loss], subjects: list[str]) -> None:
    """What cost most comes first; small prices and windows without requests are left out."""
    assert [loss.subject for loss in losses] == subjects


def test_text() -> None:
    """The text names the day, its worth and the reason of each loss."""
    lines = format_report('quiet-1', REPORT).splitlines()
    assert lines[0] == 'quiet-1: worth 0.500'
    assert '     0.600  from 2 s  4 requests, 1 late, 0 refused, 0 failed, p99 1.5 s' in lines
