"""A tap on a process's socket, so that the demo counts bytes apart from the process's counters."""

from zinniaspoke import ports


class Tap(ports.DatagramPort):
    """Passes datagrams on and adds up their bytes.

    Attributes:
        sent_bytes: Bytes of all datagrams sent.
    """

    def __init__(self, *, port: ports.DatagramPort) -> None:
        """Wraps a socket.

        Args:
            port: The socket.
        """
        self._port = port
        self.sent_bytes = 0

    def send(self, endpoint: tuple[str, int], data: bytes) -> None:
        """See ``ports.DatagramPort.send``."""
        self.sent_bytes += len(data)
        self._port.send(endpoint, data)

    def close(self) -> None:
        """See ``ports.DatagramPort.close``."""
        self._port.close()
