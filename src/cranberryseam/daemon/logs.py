"""Structured logging with one JSON object per line."""

from __future__ import annotations

import logging
import sys
from typing import Any, Final

import msgspec

_FIELDS_ATTRIBUTE: Final = 'fields'


class JsonFormatter(logging.Formatter):
    """Format each record as one line of JSON.

    Parameters
    ----------
    vm
        Name of this VM, included in each line.

    """

    def __init__(self, vm: str) -> None:
        """Create the encoder."""
        super().__init__()
        self._vm = vm
        self._encoder = msgspec.json.Encoder(enc_hook=str)

    def format(self, record: logging.LogRecord) -> str:
        """Return the JSON line for a record."""
        line: dict[str, Any] = {
            'time': record.created,
            'level': record.levelname.lower(),
            'vm': self._vm,
            'logger': record.name,
            'message': record.getMessage(),
        }
        line.update(getattr(record, _FIELDS_ATTRIBUTE, {}))
        if record.exc_info:
            line['exception'] = self.formatException(record.exc_info)
        return self._encoder.encode(line).decode()


def configure_logs(vm: str, level: str) -> None:
    """Send all logs to standard output as JSON lines."""
    handler = logging.StreamHandler(sys.stdout)
    handler.setFormatter(JsonFormatter(vm))
    logging.basicConfig(level=level, handlers=[handler], force=True)
    # These libraries log each request at INFO, including the URLs of callers.
    for name in ('httpx', 'httpcore', 'hypercorn'):
        logging.getLogger(name).setLevel(logging.WARNING)


__all__ = ('JsonFormatter', 'configure_logs')
