"""UDP sockets on the asyncio loop."""

import asyncio
import socket
from collections.abc import Callable

from zinniaspoke import errors, ports

BUFFER_BYTES = 4 * 1024 * 1024
Receiver = Callable[[bytes, tuple[str, int]], None]


class _Protocol(asyncio.DatagramProtocol):
    def __init__(self, *, receiver: Receiver) -> None:
        self._receiver = receiver

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        self._receiver(data, address)


class UdpSocket(ports.DatagramPort):
    """One UDP socket."""

    def __init__(self, *, transport: asyncio.DatagramTransport) -> None:
        """Wraps a transport; use ``open_socket``.

        Args:
            transport: The asyncio transport.
        """
        self._transport = transport

    def send(self, endpoint: tuple[str, int], data: bytes) -> None:
        """See ``ports.DatagramPort.send``."""
        if not self._transport.is_closing():
            self._transport.sendto(data, endpoint)

    def close(self) -> None:
        """See ``ports.DatagramPort.close``."""
        self._transport.abort()


async def open_socket(host: str, port: int, receiver: Receiver) -> UdpSocket:
    """Opens a UDP socket.

    Args:
        host: IP number to bind.
        port: Port to bind.
        receiver: Called with each datagram and its source.

    Returns:
        The socket.

    Raises:
        errors.Error: The address cannot be bound.
    """
    loop = asyncio.get_running_loop()
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_DGRAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)
        sock.bind((host, port))
    except OSError as error:
        sock.close()
        reason = error.strerror or str(error)
        raise errors.Error(step="open UDP socket", peer=f"{host}:{port}", reason=reason) from error
    transport, _ = await loop.create_datagram_endpoint(
        lambda: _Protocol(receiver=receiver), sock=sock
    )
    return UdpSocket(transport=transport)
