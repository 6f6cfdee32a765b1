"""Runs the replica in a thread of its own, so that nothing else waits for its disk."""

import asyncio
import queue
import threading
from collections.abc import Callable

import attrs

from zinniaspoke import control, errors
from zinniaspoke.proto import control_pb2

# Messages of other replicas that may wait for a stalled disk: two of the largest appends. What is
# dropped beyond is sent again, as are messages that a network loses.
INBOX_LIMIT_BYTES = 4 * 1024 * 1024


@attrs.frozen(kw_only=True)
class Output:
    """What one step of the replica produced.

    Attributes:
        view: Its state after the step.
        messages: Messages to other replicas.
        entered: Requests that were taken, with the tickets of their answers.
        refused: Requests that the disk refused.
        answers: Answers to requests.
        notices: Events to log.
        disk_error: Why the disk refused a write, or None.
    """

    view: control.View
    messages: list[control_pb2.ReplicaMessage]
    entered: list[tuple[int, object]]
    refused: list[object]
    answers: list[control.Answer]
    notices: list[control.Notice]
    disk_error: errors.StorageError | None


class _Stop(Exception):
    """Ends the thread."""


class ReplicaThread:
    """Hands calls to the replica and its output back to the event loop, both in order.

    Attributes:
        failure: The error that ended the thread, or None.
    """

    def __init__(
        self,
        *,
        open_core: Callable[[], control.Control],
        clock: Callable[[], float],
        deliver: Callable[[Output], None],
    ) -> None:
        """Prepares the thread.

        Args:
            open_core: Reads back the state from the disk; called in the thread.
            clock: Gives the current time in seconds.
            deliver: Takes the output of each step, in the event loop.
        """
        self._open_core = open_core
        self._clock = clock
        self._deliver = deliver
        self.failure: Exception | None = None
        self._inbox: queue.SimpleQueue[Callable[[control.Control], None]] = queue.SimpleQueue()
        self._inbox_bytes = 0
        self._lock = threading.Lock()
        self._has_tick = False
        self._entered: list[tuple[int, object]] = []
        self._refused: list[object] = []
        self._loop: asyncio.AbstractEventLoop | None = None

    def start(self) -> None:
        """Starts the thread; has to be called in the event loop."""
        self._loop = asyncio.get_running_loop()
        threading.Thread(target=self._run, name="replica", daemon=True).start()

    def stop(self) -> None:
        """Ends the thread after the calls that wait; does not wait for it."""

        def end(_core: control.Control) -> None:
            raise _Stop

        self._inbox.put(end)

    # Calls, from the event loop

    def receive(self, message: control_pb2.ReplicaMessage) -> bool:
        """Hands over a message of another replica.

        Args:
            message: The message.

        Returns:
            Whether it was taken; false while too much waits for the disk.
        """
        size_bytes = message.ByteSize()
        with self._lock:
            if self._inbox_bytes + size_bytes > INBOX_LIMIT_BYTES:
                return False
            self._inbox_bytes += size_bytes

        def handle(core: control.Control) -> None:
            with self._lock:
                self._inbox_bytes -= size_bytes
            core.receive(message, self._clock())

        self._inbox.put(handle)
        return True

    def enter(
        self, command: control.Command | None, owner: object, latest_s: float | None = None
    ) -> None:
        """Submits a rule file, proposes a zone order, or reads the rules in force.

        Args:
            command: The file or order, or None to read.
            owner: Stands in ``Output.entered`` or ``Output.refused``.
            latest_s: An order is not proposed later, however long the disk stalls.
        """

        def handle(core: control.Control) -> None:
            now_s = self._clock()
            try:
                if command is None:
                    ticket = core.read(now_s)
                elif isinstance(command, control_pb2.ZoneOrder):
                    ticket = core.order(command, now_s, latest_s)
                else:
                    ticket = core.submit(command.number, command.content, now_s, command.source)
            except errors.StorageError:
                self._refused.append(owner)
                raise
            self._entered.append((ticket, owner))

        self._inbox.put(handle)

    def tick(self) -> None:
        """Runs the replica's timers once all messages that wait have been handled."""
        if not self._has_tick:
            self._has_tick = True
            self._inbox.put(self._handle_tick)

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replaces the seeds.

        Args:
            seeds: Names of control VMs to contact besides the members.
        """

        def handle(core: control.Control) -> None:
            core.replica.discovery.seeds = seeds

        self._inbox.put(handle)

    def transfer_leadership(self) -> None:
        """Gives leadership away if this replica leads."""
        self._inbox.put(lambda core: core.replica.transfer_leadership(self._clock()))

    # The thread

    def _handle_tick(self, core: control.Control) -> None:
        if not self._inbox.empty():
            # After a stall the leader's messages come first, or its silence would seem real.
            self._inbox.put(self._handle_tick)
            return
        self._has_tick = False
        core.tick(self._clock())

    def _run(self) -> None:
        try:
            core = self._open_core()
            self._publish(core, None)
            while True:
                self._step(core, self._inbox.get())
        except _Stop:
            return
        except Exception as error:
            self.failure = error

    def _step(self, core: control.Control, call: Callable[[control.Control], None]) -> None:
        disk_error = None
        try:
            call(core)
        except errors.CorruptionError:
            raise
        except errors.StorageError as error:
            disk_error = error
        self._publish(core, disk_error)

    def _publish(self, core: control.Control, disk_error: errors.StorageError | None) -> None:
        entered, self._entered = self._entered, []
        refused, self._refused = self._refused, []
        output = Output(
            view=core.view(self._clock()),
            messages=core.take_messages(),
            entered=entered,
            refused=refused,
            answers=core.take_answers(),
            notices=core.take_notices(),
            disk_error=disk_error,
        )
        try:
            self._loop.call_soon_threadsafe(self._deliver, output)
        except RuntimeError:
            # The event loop has ended, and with it whoever would take the output.
            raise _Stop from None
