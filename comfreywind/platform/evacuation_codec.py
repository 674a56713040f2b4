"""Encodes and decodes the state of an evacuation as the operator reads it."""

import json

from comfreywind.decisions.scheduling.evacuation_state import EvacuationState
from comfreywind.http.json_body import parse_json


def encode_evacuation_state(state: EvacuationState) -> bytes:
    """Return the value of the row that shows the state."""
    document = {'state': state.state}
    if state.reason:
        document['reason'] = state.reason
    return json.dumps(document).encode()


def decode_evacuation_state(payload: bytes) -> EvacuationState | None:
    """Return the state in a row, or None when it can't be read."""
    try:
        document = parse_json(payload)
    except ValueError:
        return None
    if not isinstance(document, dict) or 'state' not in document:
        return None
    return EvacuationState(str(document['state']), str(document.get('reason', '')))
