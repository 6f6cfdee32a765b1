"""Numbered events as JSON lines on standard output, bounded and never blocking."""

import json
import os
import time

from zinniaspoke import events, ports

STANDARD_OUTPUT = 1
# A flood of events must cost neither time nor disk; what is left out is counted and told.
LINES_PER_S = 100.0
BURST_LINES = 400.0


class LineLog(ports.LogPort):
    """Writes one line for each event."""

    def __init__(self, *, process: str, descriptor: int = STANDARD_OUTPUT) -> None:
        """Prepares the output.

        Args:
            process: Name of the process that logs.
            descriptor: Where the lines go.
        """
        self._process = process
        self._descriptor = descriptor
        self._allowance_lines = BURST_LINES
        self._refilled_s = time.monotonic()
        self._dropped_count = 0
        os.set_blocking(descriptor, False)

    def _may_write(self) -> bool:
        now_s = time.monotonic()
        gained = (now_s - self._refilled_s) * LINES_PER_S
        self._allowance_lines = min(BURST_LINES, self._allowance_lines + gained)
        self._refilled_s = now_s
        if self._allowance_lines < 1.0:
            self._dropped_count += 1
            return False
        self._allowance_lines -= 1.0
        return True

    def write(self, event: events.Event, step: str, peer: str, detail: str) -> None:
        """See ``ports.LogPort.write``."""
        if not self._may_write():
            return
        line = {
            "time": round(time.time(), 3),
            "number": event.number,
            "event": event.name,
            "process": self._process,
            "step": step,
            "peer": peer,
            "detail": detail,
        }
        if self._dropped_count:
            line["lines_left_out"] = self._dropped_count
        try:
            os.write(self._descriptor, json.dumps(line).encode() + b"\n")
            self._dropped_count = 0
        except BlockingIOError:
            self._dropped_count += 1
