"""Structured logs: one JSON object a line, written with logbook."""

import sys
from typing import Any

import logbook
import orjson


class StructuredLog:
    """Writes events with a stable name and typed fields.

    ``LOG.info('link_lost', peer='kyu-2')`` gives one JSON line with the
    fields of the host and of the event.
    """

    def __init__(self) -> None:
        self._logger = logbook.Logger('almonddock')

    def debug(self, event: str, **fields: Any) -> None:
        """Writes an event for developers."""
        self._logger.debug(event, extra={'fields': fields})

    def info(self, event: str, **fields: Any) -> None:
        """Writes a normal event of the host, for operators to look up."""
        self._logger.info(event, extra={'fields': fields})

    def warning(self, event: str, **fields: Any) -> None:
        """Writes a problem that an operator should know soon."""
        self._logger.warning(event, extra={'fields': fields})

    def error(self, event: str, **fields: Any) -> None:
        """Writes a fault that an operator must act on."""
        self._logger.error(event, extra={'fields': fields})


def start_logs(level: str, host: str, data_centre: str) -> None:
    """Sends all logs at or above the level to stderr as JSON lines."""

    def format_record(record: Any, handler: Any) -> str:
        line = {
            'time': record.time.isoformat(),
            'level': record.level_name.lower(),
            'event': record.message,
            'host': host,
            'data_centre': data_centre,
            **record.extra['fields'],
        }
        return orjson.dumps(line, default=str).decode()

    handler = logbook.StreamHandler(sys.stderr, level=level.upper())
    handler.formatter = format_record
    handler.push_application()


#: The log of the whole program.
LOG = StructuredLog()
