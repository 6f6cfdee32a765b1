"""Links between control VMs: a proxy that can hold what passes and let it go on in order.

Every VM has an internal port of its own in its settings, and takes it for that of all others. The
proxy listens where a VM looks for another one, and turns names of the form HOST:PORT from the view
of one VM into that of the other. All ports have five digits, so no message changes its length.
"""

import asyncio
import collections
import re
import struct
import time
from collections.abc import Callable

import attrs

from standins import deployment
from zinniaspoke.proto import control_pb2

_HEADER = struct.Struct("!IB")
_REPLICA = 3


@attrs.define(kw_only=True, eq=False)
class Frame:
    """One message on its way.

    Attributes:
        data: Its bytes.
        writer: Where they go.
        message: The replica's message in it, or None.
    """

    data: bytes
    writer: asyncio.StreamWriter
    message: control_pb2.ReplicaMessage | None

    def is_body(self, field: str) -> bool:
        """Whether it carries a replica's message of a kind.

        Args:
            field: The kind.
        """
        return self.message is not None and self.message.WhichOneof("body") == field

    def is_vote_reply(self, *, is_probe: bool) -> bool:
        """Whether it grants a vote.

        Args:
            is_probe: Whether it grants a pre-vote instead.
        """
        if not self.is_body("vote_reply"):
            return False
        reply = self.message.vote_reply
        return reply.is_granted and reply.is_probe == is_probe

    def is_vote_request(self, *, is_probe: bool) -> bool:
        """Whether it asks for a vote.

        Args:
            is_probe: Whether it asks for a pre-vote instead.
        """
        return self.is_body("vote_request") and self.message.vote_request.is_probe == is_probe


class Wires:
    """All links between control VMs.

    Attributes:
        held: What waits, by sender and receiver.
        passed: Replicas' messages that have passed, by sender and receiver.
    """

    def __init__(self, site: deployment.Deployment) -> None:
        """Prepares the links; nothing is held.

        Args:
            site: The deployment.
        """
        self._site = site
        # Since when each direction has been cut.
        self._is_held: dict[tuple[str, str], float] = {}
        self.held: dict[tuple[str, str], collections.deque[Frame]] = collections.defaultdict(
            collections.deque
        )
        self.passed: dict[tuple[str, str], list[Frame]] = collections.defaultdict(list)
        self._longest_cut_s = 0.0
        self._servers: list[asyncio.AbstractServer] = []
        self._tasks: set[asyncio.Task] = set()

    async def open(self) -> None:
        """Listens at all addresses at which VMs look for each other."""
        site = self._site
        for dialler in (*site.controls, *site.entries):
            for name in site.controls:
                if name != dialler:
                    await self._listen(dialler, name)

    async def _listen(self, dialler: str, name: str) -> None:
        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self._tasks.add(asyncio.current_task())
            await self._carry(dialler, name, reader, writer)

        host, port = self._site.host(name), self._site.peer_ports[dialler]
        self._servers.append(await asyncio.start_server(accept, host, port))

    async def _carry(
        self,
        dialler: str,
        name: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        ends = [writer]
        try:
            host, port = self._site.host(name), self._site.peer_ports[name]
            onward = await asyncio.open_connection(host, port)
            ends.append(onward[1])
            pumps = (
                asyncio.ensure_future(self._pump(dialler, name, reader, onward[1])),
                asyncio.ensure_future(self._pump(name, dialler, onward[0], writer)),
            )
            done, waiting = await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
            for pump in waiting:
                pump.cancel()
            await asyncio.gather(*pumps, return_exceptions=True)
        except OSError:
            pass
        finally:
            for end in ends:
                end.transport.abort()

    async def _pump(
        self,
        source: str,
        destination: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        old, new = (self._site.peer_ports[name] for name in (source, destination))
        pattern = re.compile(rb"(127\.\d+\.\d+\.\d+):%d" % old)
        pair = source, destination
        while True:
            head = await reader.readexactly(_HEADER.size)
            length, kind = _HEADER.unpack(head)
            payload = pattern.sub(rb"\1:%d" % new, await reader.readexactly(length))
            message = None
            if kind == _REPLICA:
                message = control_pb2.ReplicaMessage.FromString(payload)
            frame = Frame(data=head + payload, writer=writer, message=message)
            if pair in self._is_held or self.held[pair]:
                self.held[pair].append(frame)
            else:
                self._pass(pair, frame)

    def _pass(self, pair: tuple[str, str], frame: Frame) -> None:
        if frame.message is not None:
            self.passed[pair].append(frame)
        if not frame.writer.is_closing():
            frame.writer.write(frame.data)

    def cut(self, *pairs: tuple[str, str]) -> None:
        """Holds what passes from one VM to another.

        Args:
            *pairs: Senders and receivers.
        """
        for pair in pairs:
            if pair not in self._is_held:
                self._is_held[pair] = time.monotonic()
                self._site.note(f"link cut: {pair[0]} to {pair[1]}")

    def _note_cut(self, since_s: float) -> None:
        self._longest_cut_s = max(self._longest_cut_s, time.monotonic() - since_s)

    def longest_cut_s(self) -> float:
        """Returns how long a direction has been cut at a time, since this was last asked."""
        for since_s in self._is_held.values():
            self._note_cut(since_s)
        longest_s, self._longest_cut_s = self._longest_cut_s, 0.0
        return longest_s

    def heal(self, *pairs: tuple[str, str]) -> None:
        """Lets go on what was held, in its order, and all that follows.

        Args:
            *pairs: Senders and receivers.
        """
        for pair in pairs:
            if pair in self._is_held:
                self._note_cut(self._is_held.pop(pair))
                self._site.note(f"link healed: {pair[0]} to {pair[1]}")
            while self.held[pair]:
                self._pass(pair, self.held[pair].popleft())

    def advance(self, pair: tuple[str, str], is_last: Callable[[Frame], bool]) -> None:
        """Lets go on what was held up to the first message of a kind, that one included.

        Args:
            pair: Sender and receiver.
            is_last: Whether a message is of that kind.
        """
        while self.held[pair]:
            frame = self.held[pair].popleft()
            self._pass(pair, frame)
            if is_last(frame):
                self._site.note(f"link from {pair[0]} to {pair[1]} moved on")
                return

    def waits(self, pair: tuple[str, str], is_kind: Callable[[Frame], bool]) -> int:
        """Counts the held messages of a kind.

        Args:
            pair: Sender and receiver.
            is_kind: Whether a message is of that kind.
        """
        return sum(map(is_kind, self.held[pair]))

    def close(self) -> None:
        """Closes all links."""
        for server in self._servers:
            server.close()
        for task in self._tasks:
            task.cancel()
