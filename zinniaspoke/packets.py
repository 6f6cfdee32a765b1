"""Building and decoding of IPv4 and IPv6 packets that carry TCP or UDP."""

import struct

import attrs

from zinniaspoke import errors

TCP = 6
UDP = 17
FIN = 0x01
SYN = 0x02
RST = 0x04
PSH = 0x08
ACK = 0x10
SIZE_LIMIT_BYTES = 9_000
SEQUENCE_MASK = 0xFFFFFFFF

_IPV4 = struct.Struct("!BxHHHxBxx4s4s")
_IPV6 = struct.Struct("!IHBB16s16s")
_TCP = struct.Struct("!4sIIBB")
_UDP = struct.Struct("!4sH")
_IPV4_HEADER_BYTES = 20
_IPV6_HEADER_BYTES = 40
_TCP_HEADER_BYTES = 20
_UDP_HEADER_BYTES = 8
_MORE_FRAGMENTS_OR_OFFSET = 0x3FFF
_HOP_BY_HOP = 0
_ROUTING = 43
_FRAGMENT = 44
_DESTINATION_OPTIONS = 60
_EXTENSION_HEADER_LIMIT = 4
_SKIPPED_EXTENSION_HEADERS = frozenset({_HOP_BY_HOP, _ROUTING, _DESTINATION_OPTIONS})


@attrs.define(kw_only=True, slots=True)
class Packet:
    """One decoded IP packet.

    Attributes:
        raw: The whole packet, unmodified.
        version: IP version, 4 or 6.
        protocol: ``TCP`` or ``UDP``.
        source: Source address, 4 or 16 bytes.
        destination: Destination address, 4 or 16 bytes.
        source_port: Source port, 2 bytes in network order.
        destination_port: Destination port, 2 bytes in network order.
        flags: TCP flags; 0 for UDP.
        sequence: TCP sequence number; 0 for UDP.
        acknowledgment: TCP acknowledgment number; 0 for UDP.
        payload_bytes: Size of the TCP or UDP payload.
    """

    raw: bytes
    version: int
    protocol: int
    source: bytes
    destination: bytes
    source_port: bytes
    destination_port: bytes
    flags: int
    sequence: int
    acknowledgment: int
    payload_bytes: int

    @property
    def caller_flow(self) -> bytes:
        """The flow's key, for a packet from the caller to the service."""
        return (
            self.protocol.to_bytes(1, "big")
            + self.source
            + self.source_port
            + self.destination
            + self.destination_port
        )

    @property
    def return_flow(self) -> bytes:
        """The flow's key, for a packet from the service to the caller."""
        return (
            self.protocol.to_bytes(1, "big")
            + self.destination
            + self.destination_port
            + self.source
            + self.source_port
        )

    @property
    def is_opening(self) -> bool:
        """Whether this is the opening segment of a TCP connection: SYN without ACK or RST."""
        return self.flags & (SYN | ACK | RST) == SYN

    @property
    def next_sequence(self) -> int:
        """The sequence number that follows this segment."""
        length = self.payload_bytes + bool(self.flags & SYN) + bool(self.flags & FIN)
        return (self.sequence + length) & SEQUENCE_MASK


def _error(reason: str) -> errors.PacketError:
    return errors.PacketError(step="decode packet", peer="network", reason=reason)


def decode(raw: bytes) -> Packet:
    """Decodes an IP packet.

    Args:
        raw: The packet, starting with its IP header.

    Returns:
        The decoded packet.

    Raises:
        errors.PacketError: The packet is malformed, truncated, fragmented, oversized, or neither
            TCP nor UDP.
    """
    if not raw:
        raise _error("truncated")
    if len(raw) > SIZE_LIMIT_BYTES:
        raise _error("oversized")
    version = raw[0] >> 4
    if version == 4:
        return _decode_ipv4(raw)
    if version == 6:
        return _decode_ipv6(raw)
    raise _error("malformed")


def _decode_ipv4(raw: bytes) -> Packet:
    if len(raw) < _IPV4_HEADER_BYTES:
        raise _error("truncated")
    first, total, _, fragment, protocol, source, destination = _IPV4.unpack_from(raw)
    header = (first & 0x0F) * 4
    if header < _IPV4_HEADER_BYTES or total < header:
        raise _error("malformed")
    if total > len(raw):
        raise _error("truncated")
    if fragment & _MORE_FRAGMENTS_OR_OFFSET:
        raise _error("fragmented")
    return _decode_transport(raw, 4, protocol, source, destination, header, total)


def _decode_ipv6(raw: bytes) -> Packet:
    if len(raw) < _IPV6_HEADER_BYTES:
        raise _error("truncated")
    _, payload, protocol, _, source, destination = _IPV6.unpack_from(raw)
    end = _IPV6_HEADER_BYTES + payload
    if end > len(raw):
        raise _error("truncated")
    offset = _IPV6_HEADER_BYTES
    for _ in range(_EXTENSION_HEADER_LIMIT):
        if protocol not in _SKIPPED_EXTENSION_HEADERS:
            break
        if offset + 8 > end:
            raise _error("truncated")
        protocol, length = raw[offset], (raw[offset + 1] + 1) * 8
        offset += length
    if protocol == _FRAGMENT:
        raise _error("fragmented")
    return _decode_transport(raw, 6, protocol, source, destination, offset, end)


def _decode_transport(
    raw: bytes,
    version: int,
    protocol: int,
    source: bytes,
    destination: bytes,
    offset: int,
    end: int,
) -> Packet:
    if protocol == TCP:
        if offset + _TCP_HEADER_BYTES > end:
            raise _error("truncated")
        ports, sequence, acknowledgment, data_offset, flags = _TCP.unpack_from(raw, offset)
        header = (data_offset >> 4) * 4
        if header < _TCP_HEADER_BYTES or offset + header > end:
            raise _error("malformed")
        payload = end - offset - header
    elif protocol == UDP:
        if offset + _UDP_HEADER_BYTES > end:
            raise _error("truncated")
        ports, length = _UDP.unpack_from(raw, offset)
        if length < _UDP_HEADER_BYTES or offset + length > end:
            raise _error("malformed")
        sequence = acknowledgment = flags = 0
        payload = length - _UDP_HEADER_BYTES
    else:
        raise _error("protocol")
    return Packet(
        raw=raw,
        version=version,
        protocol=protocol,
        source=source,
        destination=destination,
        source_port=ports[:2],
        destination_port=ports[2:],
        flags=flags,
        sequence=sequence,
        acknowledgment=acknowledgment,
        payload_bytes=payload,
    )


def checksum(data: bytes) -> int:
    """Computes the internet checksum (RFC 1071).

    Args:
        data: The bytes to sum, padded with a zero byte if their number is odd.

    Returns:
        The 16-bit checksum.
    """
    if len(data) % 2:
        data += b"\0"
    total = int.from_bytes(data, "big")
    if total == 0:
        return 0xFFFF
    return 0xFFFF - (total % 0xFFFF or 0xFFFF)


def _ip_header(protocol: int, source: bytes, destination: bytes, size_bytes: int) -> bytes:
    if len(source) == 4:
        header = struct.pack(
            "!BBHHHBBH4s4s", 0x45, 0, size_bytes + 20, 0, 0x4000, 64, protocol, 0,
            source, destination,
        )  # fmt: skip
        return header[:10] + checksum(header).to_bytes(2, "big") + header[12:]
    return _IPV6.pack(0x60000000, size_bytes, protocol, 64, source, destination)


def _pseudo_header(protocol: int, source: bytes, destination: bytes, size_bytes: int) -> bytes:
    return source + destination + struct.pack("!II", protocol, size_bytes)


def build_tcp(
    *,
    source: bytes,
    source_port: bytes,
    destination: bytes,
    destination_port: bytes,
    flags: int,
    sequence: int,
    acknowledgment: int = 0,
    payload: bytes = b"",
) -> bytes:
    """Builds a TCP segment in an IP packet.

    Args:
        source: Source address, 4 or 16 bytes.
        source_port: Source port, 2 bytes.
        destination: Destination address, as long as ``source``.
        destination_port: Destination port, 2 bytes.
        flags: TCP flags.
        sequence: Sequence number.
        acknowledgment: Acknowledgment number.
        payload: The TCP payload.

    Returns:
        The packet with valid checksums.
    """
    header = struct.pack(
        "!2s2sIIBBHHH", source_port, destination_port, sequence & SEQUENCE_MASK,
        acknowledgment & SEQUENCE_MASK, 0x50, flags, 0xFFFF, 0, 0,
    )  # fmt: skip
    size_bytes = len(header) + len(payload)
    pseudo = _pseudo_header(TCP, source, destination, size_bytes)
    total = checksum(pseudo + header + payload)
    header = header[:16] + total.to_bytes(2, "big") + header[18:]
    return _ip_header(TCP, source, destination, size_bytes) + header + payload


def build_udp(
    *,
    source: bytes,
    source_port: bytes,
    destination: bytes,
    destination_port: bytes,
    payload: bytes = b"",
) -> bytes:
    """Builds a UDP datagram in an IP packet.

    Args:
        source: Source address, 4 or 16 bytes.
        source_port: Source port, 2 bytes.
        destination: Destination address, as long as ``source``.
        destination_port: Destination port, 2 bytes.
        payload: The UDP payload.

    Returns:
        The packet with valid checksums.
    """
    size_bytes = _UDP_HEADER_BYTES + len(payload)
    header = struct.pack("!2s2sHH", source_port, destination_port, size_bytes, 0)
    total = checksum(_pseudo_header(UDP, source, destination, size_bytes) + header + payload)
    header = header[:6] + (total or 0xFFFF).to_bytes(2, "big")
    return _ip_header(UDP, source, destination, size_bytes) + header + payload


def build_reset_reply(packet: Packet) -> bytes:
    """Builds the reset with which a closed port answers a segment (RFC 9293, 3.10.7.1).

    Args:
        packet: The TCP segment to answer, not itself a reset.

    Returns:
        The reset, sent from the segment's destination to its source.
    """
    if packet.flags & ACK:
        flags, sequence, acknowledgment = RST, packet.acknowledgment, 0
    else:
        flags, sequence, acknowledgment = RST | ACK, 0, packet.next_sequence
    return build_tcp(
        source=packet.destination,
        source_port=packet.destination_port,
        destination=packet.source,
        destination_port=packet.source_port,
        flags=flags,
        sequence=sequence,
        acknowledgment=acknowledgment,
    )


def build_opening_reset(opening: Packet) -> bytes:
    """Builds a reset in the caller's name that cancels a connection attempt at its target.

    Args:
        opening: The SYN that was sent to the target.

    Returns:
        The reset, addressed from the caller to the service.
    """
    return build_tcp(
        source=opening.source,
        source_port=opening.source_port,
        destination=opening.destination,
        destination_port=opening.destination_port,
        flags=RST,
        sequence=opening.next_sequence,
    )
