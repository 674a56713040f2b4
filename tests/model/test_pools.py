"""Model checks of waves and moves, also with one protection switched off."""

import pytest
from minicheck import Protocol, check_safety

from tests.model.move_model import MoveSwitches, make_move_model
from tests.model.wave_model import WaveSwitches, make_wave_model

STATES_LIMIT = 200_000
# A counterexample is valid even if the search was not finished.
BROKEN_STATES_LIMIT = 30_000
WHOLE_MODELS = (make_wave_model(WaveSwitches()), make_move_model(MoveSwitches()))
BROKEN_MODELS = (
    (make_wave_model(WaveSwitches(fencing=False)), 'the budget holds with one failure'),
    (make_wave_model(WaveSwitches(conditional_reboot=False)), 'no reboot stops a working VM'),
    (make_move_model(MoveSwitches(confirmation=False)), 'the VM works for its own pool only'),
    (make_move_model(MoveSwitches(run_limit=False)), 'the VM works for its own pool only'),
)


@pytest.mark.parametrize('model', WHOLE_MODELS)
def test_protocol_is_safe(model: Protocol) -> None:
    """No stop breaks the budget, no late reboot stops a working VM, no VM works for two pools."""
    result = check_safety(model, max_states=STATES_LIMIT)
    assert result['exhaustive']
    for name, found in result['properties'].items():
        assert found['holds'] is True, (name, found)


@pytest.mark.parametrize(('model', 'broken'), BROKEN_MODELS)
def test_missing_protection_is_found(model: Protocol, broken: str) -> None:
    """With a protection switched off, the check must find the violated invariant."""
    result = check_safety(model, max_states=BROKEN_STATES_LIMIT)
    assert result['properties'][broken]['holds'] is False
