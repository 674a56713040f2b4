"""Parses JSON that another program has written."""

import json
from typing import Any


def parse_json(body: bytes) -> Any:
    """Return the document; raise ValueError if it isn't JSON or nested too deeply."""
    try:
        return json.loads(body)
    except RecursionError as error:
        raise ValueError('the JSON is nested too deeply') from error
