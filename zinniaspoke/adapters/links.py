"""Framed TCP connections between the system's processes that notice when a peer goes silent."""

import abc
import asyncio
import enum
import struct
from collections.abc import Callable

from zinniaspoke import errors, events, ports

# A peer answers each ping; two unanswered ones in a row and the connection is given up.
PING_S = 0.4
SILENCE_S = 1.3
# An attempt at a VM without power hangs; a few round trips between regions are enough otherwise.
CONNECT_LIMIT_S = 0.5
RETRY_S = 0.1
# A rule file of 256 KiB with its source, and room for a snapshot of it.
FRAME_LIMIT_BYTES = 8 * 1024 * 1024
# A peer that leaves this much unread is treated as gone.
BACKLOG_LIMIT_BYTES = 4 * 1024 * 1024
_HEADER = struct.Struct("!IB")


class Kind(enum.IntEnum):
    """What a frame carries."""

    PING = 0
    PONG = 1
    HELLO = 2
    REPLICA = 3
    GOSSIP = 4
    CALL = 5
    REPLY = 6
    UPDATE = 7
    STATE = 8
    SHARE_REQUEST = 20
    SHARE_GRANT = 21
    EVIDENCE = 30


class Owner(abc.ABC):
    """Takes what arrives on links."""

    @abc.abstractmethod
    def link_opened(self, link: "Link") -> None:
        """A connection is open.

        Args:
            link: The connection.
        """

    @abc.abstractmethod
    def frame_received(self, link: "Link", kind: Kind, payload: bytes) -> None:
        """A frame arrived.

        Args:
            link: Where.
            kind: What it carries.
            payload: Its bytes.
        """

    @abc.abstractmethod
    def link_closed(self, link: "Link") -> None:
        """A connection is gone.

        Args:
            link: The connection.
        """


class Link(asyncio.Protocol):
    """One connection, in either direction.

    Attributes:
        peer: Name of the other end: HOST:PORT where it listens, or where it came from.
        is_dialled: Whether this end opened it.
    """

    def __init__(self, *, owner: Owner, peer: str, clock: Callable[[], float]) -> None:
        """Prepares the connection.

        Args:
            owner: Takes what arrives.
            peer: Name of the other end, empty where it dials.
            clock: Gives the current time in seconds.
        """
        self._owner = owner
        self._clock = clock
        self.peer = peer
        self.is_dialled = bool(peer)
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._heard_s = clock()
        self._pinged_s = clock()

    @property
    def is_open(self) -> bool:
        """Whether frames can be sent."""
        return self._transport is not None and not self._transport.is_closing()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """See ``asyncio.Protocol.connection_made``."""
        self._transport = transport
        if not self.peer:
            host, port = transport.get_extra_info("peername") or ("unknown", 0)
            self.peer = f"{host}:{port}"
        self._heard_s = self._clock()
        self._owner.link_opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """See ``asyncio.Protocol.connection_lost``."""
        self._transport = None
        self._owner.link_closed(self)

    def data_received(self, data: bytes) -> None:
        """See ``asyncio.Protocol.data_received``."""
        self._heard_s = self._clock()
        buffer = self._buffer
        buffer += data
        while len(buffer) >= _HEADER.size:
            length, number = _HEADER.unpack_from(buffer)
            if length > FRAME_LIMIT_BYTES:
                self.abort()
                return
            end = _HEADER.size + length
            if len(buffer) < end:
                return
            payload = bytes(buffer[_HEADER.size : end])
            del buffer[:end]
            self._take(number, payload)

    def _take(self, number: int, payload: bytes) -> None:
        if number == Kind.PING:
            self.send(Kind.PONG)
        elif number != Kind.PONG and number in Kind._value2member_map_:
            self._owner.frame_received(self, Kind(number), payload)

    def send(self, kind: Kind, payload: bytes = b"") -> bool:
        """Sends a frame.

        Args:
            kind: What it carries.
            payload: Its bytes.

        Returns:
            Whether the connection took it.
        """
        if not self.is_open:
            return False
        self._transport.write(_HEADER.pack(len(payload), kind) + payload)
        if self._transport.get_write_buffer_size() > BACKLOG_LIMIT_BYTES:
            self.abort()
            return False
        return True

    def tick(self) -> None:
        """Pings, and gives the connection up after a silence."""
        now_s = self._clock()
        if not self.is_open:
            return
        if now_s - self._heard_s > SILENCE_S:
            self.abort()
        elif now_s - self._pinged_s >= PING_S:
            self._pinged_s = now_s
            self.send(Kind.PING)

    def abort(self) -> None:
        """Closes at once."""
        if self._transport is not None:
            self._transport.abort()


class Dialler:
    """Keeps one connection to a peer, dialling again whenever it is lost."""

    def __init__(
        self, *, owner: Owner, peer: str, clock: Callable[[], float], log: ports.LogPort
    ) -> None:
        """Starts to dial.

        Args:
            owner: Takes what arrives.
            peer: HOST:PORT.
            clock: Gives the current time in seconds.
            log: Where lost and regained connections are told.
        """
        self.peer = peer
        self.link = Link(owner=owner, peer=peer, clock=clock)
        self._owner = owner
        self._clock = clock
        self._log = log
        self._task = asyncio.get_running_loop().create_task(self._dial_forever())

    async def _dial_forever(self) -> None:
        host, _, port = self.peer.rpartition(":")
        loop = asyncio.get_running_loop()
        was_open = True
        while True:
            self.link = Link(owner=self._owner, peer=self.peer, clock=self._clock)
            try:
                # Unlike wait_for of Python 3.11, this never loses a cancellation.
                async with asyncio.timeout(CONNECT_LIMIT_S):
                    await loop.create_connection(lambda: self.link, host, int(port))
                self._log.write(events.LINK_OPENED, "connect", self.peer, "")
                was_open = True
            except (TimeoutError, OSError) as error:
                if was_open:
                    reason = str(error) or "no answer"
                    self._log.write(events.LINK_LOST, "connect", self.peer, reason)
                was_open = False
            while self.link.is_open:
                await asyncio.sleep(PING_S)
                self.link.tick()
            await asyncio.sleep(RETRY_S)

    def close(self) -> None:
        """Gives the peer up."""
        self._task.cancel()
        self.link.abort()


async def listen(
    owner: Owner, host: str, port: int, clock: Callable[[], float]
) -> asyncio.AbstractServer:
    """Takes connections.

    Args:
        owner: Takes what arrives on them.
        host: IP number.
        port: TCP port.
        clock: Gives the current time in seconds.

    Raises:
        errors.SettingsError: The port cannot be opened.
    """
    loop = asyncio.get_running_loop()
    try:
        return await loop.create_server(
            lambda: Link(owner=owner, peer="", clock=clock), host, port, backlog=512
        )
    except OSError as error:
        reason = error.strerror or str(error)
        raise errors.SettingsError(
            step="listen for peers", peer=f"{host}:{port}", reason=reason
        ) from error
