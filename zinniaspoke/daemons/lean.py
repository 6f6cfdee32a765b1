"""What the lean entry and control programs share: clock, stop signals, settings that change."""

import asyncio
import os
import signal
import time
from collections.abc import Callable

# The settings file may change without a signal.
SETTINGS_POLL_S = 1.0


def now_s() -> float:
    """Returns seconds on a clock that also counts the time for which this VM was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Signals:
    """Turns signals and changes of the settings file into calls.

    Attributes:
        stop: Set once the process is asked to end.
    """

    def __init__(self, *, path: str, reload: Callable[[], None]) -> None:
        """Installs the handlers.

        Args:
            path: The settings file.
            reload: Called when it has changed.
        """
        self.stop = asyncio.Event()
        self._path = path
        self._reload = reload
        self._stamp = self._read_stamp()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop.set)
        loop.add_signal_handler(signal.SIGHUP, reload)
        loop.call_later(SETTINGS_POLL_S, self._poll)

    def _read_stamp(self) -> tuple[int, int]:
        try:
            status = os.stat(self._path)
        except OSError:
            return 0, 0
        return status.st_mtime_ns, status.st_size

    def _poll(self) -> None:
        stamp = self._read_stamp()
        if stamp not in (self._stamp, (0, 0)):
            self._stamp = stamp
            self._reload()
        asyncio.get_running_loop().call_later(SETTINGS_POLL_S, self._poll)
