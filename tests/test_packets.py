"""Decoding and building of packets: round trips, and the reason for each rejected packet."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from zinniaspoke import errors, packets

CALLER, SERVICE = b"\x64\x40\x00\x01", b"\x0a\x14\x00\x01"
CALLER6, SERVICE6 = b"\xfd" + bytes(14) + b"\x01", b"\xfd" + bytes(14) + b"\x02"


def tcp(source=CALLER, destination=SERVICE, flags=packets.SYN, payload=b"", **numbers):
    return packets.build_tcp(
        source=source,
        source_port=b"\x4e\x20",
        destination=destination,
        destination_port=b"\x20\xfb",
        flags=flags,
        sequence=numbers.get("sequence", 7),
        acknowledgment=numbers.get("acknowledgment", 0),
        payload=payload,
    )


@pytest.mark.parametrize("endpoints", [(CALLER, SERVICE), (CALLER6, SERVICE6)])
def test_tcp_round_trip(endpoints):
    packet = packets.decode(tcp(*endpoints, flags=packets.ACK, payload=b"abc", acknowledgment=9))
    assert (packet.source, packet.destination) == endpoints
    assert (packet.sequence, packet.acknowledgment, packet.payload_bytes) == (7, 9, 3)
    assert packet.next_sequence == 10
    header_bytes = 20 if len(endpoints[0]) == 4 else 40
    pseudo = packets._pseudo_header(packets.TCP, *endpoints, len(packet.raw) - header_bytes)
    assert packets.checksum(pseudo + packet.raw[header_bytes:]) in (0, 0xFFFF)


def test_both_directions_have_the_same_flow_key():
    request = packets.decode(tcp())
    reply = packets.decode(packets.build_reset_reply(request))
    assert reply.return_flow == request.caller_flow
    assert reply.acknowledgment == request.sequence + 1


def test_udp_round_trip():
    raw = packets.build_udp(
        source=CALLER,
        source_port=b"\0\1",
        destination=SERVICE,
        destination_port=b"\0\2",
        payload=b"x" * 5,
    )
    packet = packets.decode(raw)
    assert (packet.protocol, packet.payload_bytes) == (packets.UDP, 5)


def patched(raw, offset, value):
    return raw[:offset] + value + raw[offset + len(value) :]


@pytest.mark.parametrize(
    ("raw", "reason"),
    [
        (b"", "truncated"),
        (tcp()[:19], "truncated"),
        (tcp()[:-1], "truncated"),
        (b"\x75" + tcp()[1:], "malformed"),
        (b"\x44" + tcp()[1:], "malformed"),
        (patched(tcp(), 6, b"\x20\x00"), "fragmented"),
        (patched(tcp(), 6, b"\x00\x08"), "fragmented"),
        (patched(tcp(), 9, b"\x01"), "protocol"),
        (patched(tcp(), 32, b"\x10"), "malformed"),
        (tcp() + bytes(packets.SIZE_LIMIT_BYTES), "oversized"),
        (patched(tcp(CALLER6, SERVICE6), 6, b"\x2c"), "fragmented"),
        (tcp(CALLER6, SERVICE6)[:50], "truncated"),
    ],
)
def test_invalid_packets_are_rejected_with_a_reason(raw, reason):
    with pytest.raises(errors.PacketError) as caught:
        packets.decode(raw)
    assert caught.value.reason == reason


@given(st.binary(max_size=120))
def test_arbitrary_bytes_decode_or_are_rejected(raw):
    try:
        packets.decode(raw)
    except errors.PacketError as error:
        assert error.reason
