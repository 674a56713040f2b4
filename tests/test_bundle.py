"""Validation of rule bundles and of the overlays of branches."""

import copy
from pathlib import Path
from typing import Any

import pytest
import yaml

from bench.fleet_plan import DEFAULT_BUNDLE
from comfreywind.bundle.parse import make_rules, parse_bundle
from comfreywind.errors import BundleError
from comfreywind.exit_status import ExitStatus
from tests.helpers.program import run_program

WEIGHT_LIMIT = {'path': 'teams.*.weight', 'minimum': 1, 'maximum': 5}
FAULT_CASES = (
    ({'teams': {'timetables': {}}}, 'teams.timetables.ceiling_units: Field required'),
    ({'tems': {}}, 'tems: Extra inputs are not permitted'),
    ({'queues': {'q': {'pool': 'none', 'open': True}}}, "no pool is named 'none'"),
    ({'queues': {'q': {'pool': 'reserve', 'teams': ['rosters']}}}, 'is a spare pool'),
    ({'queues': {'q': {'pool': 'crossings', 'teams': ['who']}}}, "no team is named 'who'"),
    ({'objectives': [{'queue': 'who'}]}, "objectives.0.queue: no queue is named 'who'"),
    (
        {'branches': {'north': {'teams': {'rosters': {'weight': 2}}}}},
        'branches.north.teams.rosters.weight: the central rules do not let branches change',
    ),
    (
        {
            'branch_limits': [WEIGHT_LIMIT],
            'branches': {'north': {'teams': {'rosters': {'weight': 9}}}},
        },
        'branches.north.teams.rosters.weight: 9.0 is outside 1.0 to 5.0',
    ),
    (
        {
            'branch_limits': [WEIGHT_LIMIT],
            'branches': {
                'north': {'teams': {'rosters': {'weight': 2}}},
                'south': {'teams': {'rosters': {'weight': 3}}},
            },
        },
        "branches.south.teams.rosters.weight: branch 'north' changes the same field",
    ),
)


def make_bundle(**changes: object) -> dict[str, Any]:
    """Return the default bundle with some of its sections replaced."""
    return {**copy.deepcopy(DEFAULT_BUNDLE), **changes}


@pytest.mark.parametrize(('changes', 'expected'), FAULT_CASES)
def test_bad_bundle_is_refused(changes: dict[str, Any], expected: str) -> None:
    """An invalid bundle is rejected as a whole, with the source, key path and reason."""
    with pytest.raises(BundleError) as caught:
        parse_bundle(make_bundle(**changes), 'central.yaml')
    assert 'central.yaml: ' in str(caught.value)
    assert expected in str(caught.value)


def test_branch_changes_what_it_may() -> None:
    """An allowed override takes effect for its own team only."""
    document = make_bundle(
        branch_limits=[WEIGHT_LIMIT], branches={'north': {'teams': {'rosters': {'weight': 2}}}}
    )
    rules = make_rules(parse_bundle(document, 'central.yaml'), 1)
    assert rules.teams['rosters'].weight == 2
    assert rules.teams['timetables'].weight == 3


def test_check_with_branch_file(tmp_path: Path) -> None:
    """`bundle check` validates the overlay files of branches, too."""
    central = tmp_path / 'central.yaml'
    central.write_text(yaml.safe_dump(make_bundle(branch_limits=[WEIGHT_LIMIT])))
    branch = tmp_path / 'north.yaml'
    branch.write_text('teams: {rosters: {weight: 7}}')
    result = run_program('bundle', 'check', str(central), '--branch', str(branch))
    assert result.exit_status == ExitStatus.BUNDLE_ERROR
    assert 'branches.north.teams.rosters.weight: 7.0 is outside' in result.stderr
