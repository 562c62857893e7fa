"""Messages of libraries and of the interpreter, written without blocking."""

import contextlib
import io
import logging
import os

from almonddock_gateway.telemetry._lines import ATOMIC_BYTES
from almonddock_gateway.telemetry._telemetry import Telemetry

#: The most characters of a message in a log line.
MAX_MESSAGE_LENGTH = 500


class NonBlockingText(io.TextIOBase):
    """A text file that drops what its reader does not accept at once.

    Set as ``sys.stderr``, it keeps tracebacks and warnings from blocking the
    process at a full pipe, and from raising at one that is closed.
    """

    def __init__(self, descriptor: int) -> None:
        """Makes ``descriptor`` non-blocking."""
        super().__init__()
        self._descriptor = descriptor
        os.set_blocking(descriptor, False)

    def writable(self) -> bool:
        """Returns True."""
        return True

    def fileno(self) -> int:
        """Returns the file descriptor."""
        return self._descriptor

    def write(self, text: str) -> int:
        """Writes as much as the reader accepts; returns the whole length."""
        encoded = text.encode(errors='backslashreplace')
        with contextlib.suppress(OSError):
            for start in range(0, len(encoded), ATOMIC_BYTES):
                os.write(
                    self._descriptor, encoded[start : start + ATOMIC_BYTES]
                )
        return len(text)


class LibraryMessages(logging.Handler):
    """Logs messages of libraries as events."""

    def __init__(self, telemetry: Telemetry) -> None:
        super().__init__()
        self._telemetry = telemetry

    def emit(self, record: logging.LogRecord) -> None:
        """Logs one message, within the budget of lines."""
        try:
            message = record.getMessage()
        except Exception as fault:
            message = f'{record.msg!r}: {fault!r}'
        self._telemetry.log_event(
            'library_message',
            library=record.name,
            severity=record.levelname,
            message=message[:MAX_MESSAGE_LENGTH],
        )
