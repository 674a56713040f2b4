"""One recorded decision."""

from dataclasses import dataclass, field
from datetime import datetime
from typing import Any


@dataclass(frozen=True, slots=True)
class DecisionRecord:
    """What was decided about which subject, when and why.

    `kind` is such as `move`, `stop`, `ejection`, `portion`, `version` or `request`; `subject` is such
    as `vm/crossings-1`; `inputs` holds the figures that the decision was made from.
    """

    at: datetime
    kind: str
    subject: str
    cause: str
    inputs: dict[str, str] = field(default_factory=dict)

    def to_document(self, entry: str) -> dict[str, Any]:
        """Return the record as a JSON document that names the entry which decided."""
        return {
            'at': self.at.isoformat(timespec='milliseconds'),
            'entry': entry,
            'kind': self.kind,
            'subject': self.subject,
            'cause': self.cause,
            'inputs': self.inputs,
        }
