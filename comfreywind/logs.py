"""Log set-up: a human format and a JSON format, one prefix per part."""

import json
import logging
import sys
from datetime import UTC, datetime
from typing import Literal

LogFormat = Literal['human', 'json']


class JsonFormatter(logging.Formatter):
    """Formats a record as one JSON object a line."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the JSON text of the record."""
        fields = {
            'time': datetime.fromtimestamp(record.created, UTC).isoformat(),
            'level': record.levelname.lower(),
            'part': record.name.rpartition('.')[2],
            'message': record.getMessage(),
        }
        if record.exc_info:
            fields['exception'] = self.formatException(record.exc_info)
        return json.dumps(fields)


class HumanFormatter(logging.Formatter):
    """Formats a record as time, level, part prefix and message."""

    def __init__(self) -> None:
        """Set the line layout."""
        super().__init__('%(asctime)s %(levelname)-7s %(part)s: %(message)s')

    def format(self, record: logging.LogRecord) -> str:
        """Return the text line of the record."""
        record.part = record.name.rpartition('.')[2]
        return super().format(record)


def configure_logs(
    log_format: LogFormat, level: str = 'INFO', output: logging.Handler | None = None
) -> None:
    """Send the logs of the project to `output`, else to standard error, in the chosen format."""
    formatter = JsonFormatter() if log_format == 'json' else HumanFormatter()
    stream_handler = output or logging.StreamHandler(sys.stderr)
    stream_handler.setFormatter(formatter)
    root_logger = logging.getLogger()
    root_logger.handlers.clear()
    root_logger.addHandler(stream_handler)
    root_logger.setLevel(level)
    logging.getLogger('hypercorn').setLevel('WARNING')
