"""What the lean entry and control programs share: clock, stop signals, settings that change."""

import abc
import asyncio
import os
import signal
import time
from collections.abc import Callable

from zinniaspoke import errors, events, lean_settings, ports
from zinniaspoke.adapters import exposition, page

# The settings file may change without a signal.
SETTINGS_POLL_S = 1.0


def now_s() -> float:
    """Returns seconds on a clock that also counts the time for which this VM was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


async def serve_metrics(
    config: lean_settings.Common,
    render: Callable[[], bytes],
    output: ports.LogPort,
    others: dict[str, page.Handler] | None = None,
) -> list[asyncio.AbstractServer]:
    """Serves counters where the settings say; a process goes on without them.

    Args:
        config: The settings.
        render: Returns the text.
        output: Where a port that cannot be opened is told.
        others: What else is answered there, by path.

    Returns:
        The server, if there is one.
    """
    if config.metrics is None:
        return []

    def answer(request: page.Request) -> page.Response:
        if others and request.path in others:
            return others[request.path](request)
        if request.path != exposition.PATH:
            return page.Response(status=404)
        return page.Response(status=200, body=render(), content_type=exposition.CONTENT_TYPE)

    try:
        return [await page.listen(answer, *config.metrics)]
    except errors.SettingsError as error:
        output.write(events.METRICS_UNSERVED, error.step, error.peer, error.reason)
        return []


class Program(abc.ABC):
    """What ``run`` needs of a program.

    Attributes:
        task: Runs as long as the program can go on.
    """

    task: asyncio.Task[None] | None

    @abc.abstractmethod
    async def leave(self) -> None:
        """Ends a program in good order."""


async def run(program: Program, signals: "Signals", output: ports.LogPort) -> None:
    """Waits until a started program is asked to end, or cannot go on.

    Args:
        program: The program.
        signals: Tells that it is asked to end.
        output: Where its failure is told.

    Raises:
        SystemExit: It could not go on; it is to be started again.
    """
    stopping = asyncio.ensure_future(signals.stop.wait())
    await asyncio.wait((stopping, program.task), return_when=asyncio.FIRST_COMPLETED)
    if not program.task.done():
        await program.leave()
        return
    error = program.task.exception()
    output.write(events.PROCESS_FAILED, "run", type(error).__name__, str(error))
    raise SystemExit(1)


class Signals:
    """Turns signals and changes of the settings file into calls.

    Attributes:
        stop: Set once the process is asked to end.
    """

    def __init__(self, *, path: str, reload: Callable[[], None], output: ports.LogPort) -> None:
        """Installs the handlers.

        Args:
            path: The settings file.
            reload: Called when it has changed.
            output: Where settings that cannot be used are told.
        """
        self.stop = asyncio.Event()
        self._path = path
        self._reload = reload
        self._output = output
        self._stamp = self._read_stamp()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._try_reload)
        loop.call_later(SETTINGS_POLL_S, self._poll)

    def _read_stamp(self) -> tuple[int, int]:
        try:
            status = os.stat(self._path)
        except OSError:
            return 0, 0
        return status.st_mtime_ns, status.st_size

    def _try_reload(self) -> bool:
        """Reads the settings again; what cannot be used, such as half a file, is tried again."""
        try:
            self._reload()
        except errors.SettingsError as error:
            self._output.write(events.SETTINGS_REFUSED, error.step, error.peer, error.reason)
            return False
        return True

    def _poll(self) -> None:
        stamp = self._read_stamp()
        if stamp not in (self._stamp, (0, 0)) and self._try_reload():
            self._stamp = stamp
        asyncio.get_running_loop().call_later(SETTINGS_POLL_S, self._poll)
