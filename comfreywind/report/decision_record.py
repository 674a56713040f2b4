"""One recorded decision."""

from dataclasses import dataclass, field
from datetime import datetime
from typing import Any


@dataclass(frozen=True, slots=True)
class DecisionRecord:
    """What was decided about which subject, when and why.

    `kind` is, for example, `move`, `stop`, `ejection`, `portion`, `version` or `request`; `subject`
    is, for example, `vm/crossings-1`; `inputs` holds the values that the decision is based on.
    """

    at: datetime
    kind: str
    subject: str
    cause: str
    inputs: dict[str, str] = field(default_factory=dict)

    def to_document(self, entry: str) -> dict[str, Any]:
        """Return the record as a JSON document; `entry` is the name of the deciding entry."""
        return {
            'at': self.at.isoformat(timespec='milliseconds'),
            'entry': entry,
            'kind': self.kind,
            'subject': self.subject,
            'cause': self.cause,
            'inputs': self.inputs,
        }
