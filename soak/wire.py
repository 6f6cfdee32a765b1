"""The platform's packets as callers and targets write them."""

import socket
import struct
import zlib

import attrs

SYN, ACK, FIN, RST = 32, 2, 8, 128
_HEAD = struct.Struct("!IIIIHB3s4s4sHH")
# Stands for the key that only callers and targets know.
_KEY = 0x5EED


@attrs.frozen(kw_only=True)
class Packet:
    """One packet.

    Attributes:
        source: Address and port of the sender's end.
        destination: Address and port of the other end.
        flags: ``SYN``, ``ACK``, ``FIN``, ``RST``.
        seq: Position of its data.
        ack: What the sender has received, or the number of an opening's copy.
        echo: The token.
        data: Its data.
        is_whole: Whether its sum is right.
    """

    source: tuple[str, int]
    destination: tuple[str, int]
    flags: int
    seq: int
    ack: int
    echo: int = 0
    data: bytes = b""
    is_whole: bool = True

    def _pack(self, echo: int, total: int) -> bytes:
        return _HEAD.pack(
            self.seq,
            self.ack,
            echo,
            total,
            len(self.data),
            self.flags,
            b"",
            socket.inet_aton(self.source[0]),
            socket.inet_aton(self.destination[0]),
            self.destination[1],
            self.source[1],
        )

    @property
    def _sum(self) -> int:
        return zlib.crc32(self._pack(0, 0) + self.data, _KEY)

    def encode(self) -> bytes:
        """Returns the packet's bytes."""
        return self._pack(self.echo, self._sum) + self.data


def decode(data: bytes) -> Packet:
    """Reads a packet."""
    seq, ack, echo, total, length, flags, _, source, destination, dport, sport = _HEAD.unpack_from(
        data
    )
    packet = Packet(
        source=(socket.inet_ntoa(source), sport),
        destination=(socket.inet_ntoa(destination), dport),
        flags=flags,
        seq=seq,
        ack=ack,
        echo=echo,
        data=data[_HEAD.size :],
    )
    is_whole = length == len(packet.data) and total == packet._sum
    return packet if is_whole else attrs.evolve(packet, is_whole=False)
