"""Geneve encapsulation (RFC 8926), with an option for packets sent between entry VMs."""

import enum
import hashlib
import struct

import attrs

from zinniaspoke import errors

PORT = 6081
OPTION_CLASS = 0xFFF1
OPTION_TYPE = 0x01
VISITED_LIMIT = 16

_HEADER = struct.Struct("!BBHI")
_OPTION = struct.Struct("!HBB")
_STEERING = struct.Struct("!BBBBIIII")
_ETHERTYPE_IPV4 = 0x0800
_ETHERTYPE_IPV6 = 0x86DD
_HASH_BYTES = 8
_ADDRESS_BYTES = 16
_PLAIN_HEADERS = {
    4: _HEADER.pack(0, 0, _ETHERTYPE_IPV4, 0),
    6: _HEADER.pack(0, 0, _ETHERTYPE_IPV6, 0),
}


class Step(enum.IntEnum):
    """What the receiving entry VM is asked to do with a packet; the numbers are sent on the wire.

    Attributes:
        TO_HOME: Handle a caller's packet as the flow's home.
        PLACE: Choose a target for an opening packet as the service's placer.
        RETURN: Handle a target's answer as the flow's home.
        RETURN_VIA_PLACER: Count an answer as the placer and send it to the caller.
        CALLER_VIA_PLACER: Count a caller's reset as the placer and send it to the target.
        SEEK: Tell the flow's home its target if known, else forward the packet to the next sibling.
        FOUND: Recover the flow as its home; ``target_tag`` is its target.
        UNKNOWN: As the home, handle a packet whose flow none of the visited siblings knows.
        REJECTED: As the home, forget a target that answered after its connection attempt had been
            cancelled; ``target_tag`` is this target.
    """

    TO_HOME = 1
    PLACE = 2
    RETURN = 3
    RETURN_VIA_PLACER = 4
    CALLER_VIA_PLACER = 5
    SEEK = 6
    FOUND = 7
    UNKNOWN = 8
    REJECTED = 9


@attrs.define(kw_only=True, slots=True)
class Steering:
    """The option that an entry VM adds to a packet for a sibling.

    Attributes:
        step: What the receiver is asked to do.
        hop_count: Number of entry VMs that have forwarded the packet.
        is_fresh: Whether the opening packet starts a new flow on a reused 5-tuple.
        rule_number: Highest rule number in force on any VM that forwarded the packet.
        sender_id: Member id of the sibling that sent the packet.
        origin_id: Member id of the VM that started this exchange, usually the flow's home.
        target_tag: Tag of the flow's target, or 0 if not given.
        address: Outer source address of a return packet, packed; empty if not given.
        visited_ids: Member ids of the siblings that a SEEK has visited.
    """

    step: Step
    hop_count: int
    is_fresh: bool = False
    rule_number: int = 0
    sender_id: int = 0
    origin_id: int = 0
    target_tag: int = 0
    address: bytes = b""
    visited_ids: tuple[int, ...] = ()


@attrs.define(kw_only=True, slots=True)
class Frame:
    """A decapsulated packet.

    Attributes:
        inner: The IP packet.
        steering: The option, or None for a packet from the fabric or a target.
    """

    inner: bytes
    steering: Steering | None


def _error(reason: str) -> errors.PacketError:
    return errors.PacketError(step="decode geneve", peer="network", reason=reason)


def encapsulate(inner: bytes) -> bytes:
    """Encapsulates an IP packet without options.

    Args:
        inner: The IP packet; must not be empty.

    Returns:
        The UDP payload.
    """
    return _PLAIN_HEADERS[inner[0] >> 4] + inner


def _keyed_hash(key: bytes, option: bytes, inner: bytes) -> bytes:
    return hashlib.blake2b(option + inner, digest_size=_HASH_BYTES, key=key).digest()


def encapsulate_steered(inner: bytes, steering: Steering, key: bytes) -> bytes:
    """Encapsulates an IP packet for a sibling, with a steering option.

    Args:
        inner: The IP packet.
        steering: What the sibling is asked to do.
        key: Secret key shared by the entry VMs, up to 64 bytes.

    Returns:
        The UDP payload. Its option ends with a keyed hash of option and packet.
    """
    visited = steering.visited_ids[:VISITED_LIMIT]
    body = _STEERING.pack(
        steering.step,
        steering.hop_count,
        steering.is_fresh | (len(steering.address) << 1),
        len(visited),
        steering.rule_number,
        steering.sender_id,
        steering.origin_id,
        steering.target_tag,
    )
    body += steering.address.ljust(_ADDRESS_BYTES, b"\0") if steering.address else b""
    body += struct.pack(f"!{len(visited)}I", *visited)
    length = (len(body) + _HASH_BYTES) // 4
    option = _OPTION.pack(OPTION_CLASS, OPTION_TYPE, length) + body
    ethertype = _ETHERTYPE_IPV4 if inner[0] >> 4 == 4 else _ETHERTYPE_IPV6
    header = _HEADER.pack((len(option) + _HASH_BYTES) // 4, 0, ethertype, 0)
    return header + option + _keyed_hash(key, option, inner) + inner


def decapsulate(data: bytes, keys: tuple[bytes, ...]) -> Frame:
    """Decapsulates a UDP payload.

    Args:
        data: The UDP payload.
        keys: Secret keys that are currently valid, the one used for signing first.

    Returns:
        The packet and its steering option, if it has one.

    Raises:
        errors.PacketError: The header is malformed or unsupported, or the keyed hash is wrong.
    """
    if len(data) < _HEADER.size:
        raise _error("truncated")
    first, control, ethertype, _ = _HEADER.unpack_from(data)
    if first >> 6 or control & 0x80 or ethertype not in (_ETHERTYPE_IPV4, _ETHERTYPE_IPV6):
        raise _error("malformed")
    end = _HEADER.size + (first & 0x3F) * 4
    if end > len(data):
        raise _error("truncated")
    steering = None
    offset = _HEADER.size
    while offset < end:
        if offset + _OPTION.size > end:
            raise _error("malformed")
        option_class, option_type, length = _OPTION.unpack_from(data, offset)
        size_bytes = _OPTION.size + (length & 0x1F) * 4
        if offset + size_bytes > end:
            raise _error("malformed")
        if (option_class, option_type) == (OPTION_CLASS, OPTION_TYPE):
            steering = _decode_steering(data[offset : offset + size_bytes], data[end:], keys)
        elif option_type & 0x80:
            raise _error("critical_option")
        offset += size_bytes
    return Frame(inner=data[end:], steering=steering)


def _decode_steering(option: bytes, inner: bytes, keys: tuple[bytes, ...]) -> Steering:
    signed, digest = option[:-_HASH_BYTES], option[-_HASH_BYTES:]
    if len(signed) < _OPTION.size + _STEERING.size:
        raise _error("malformed")
    if not any(_keyed_hash(key, signed, inner) == digest for key in keys):
        raise _error("signature")
    step, hop_count, flags, visited_count, number, sender, origin, target = _STEERING.unpack_from(
        signed, _OPTION.size
    )
    offset = _OPTION.size + _STEERING.size
    address_bytes = flags >> 1
    address = signed[offset : offset + address_bytes]
    offset += _ADDRESS_BYTES if address_bytes else 0
    if len(signed) != offset + visited_count * 4 or step not in Step._value2member_map_:
        raise _error("malformed")
    return Steering(
        step=Step(step),
        hop_count=hop_count,
        is_fresh=bool(flags & 1),
        rule_number=number,
        sender_id=sender,
        origin_id=origin,
        target_tag=target,
        address=address,
        visited_ids=struct.unpack_from(f"!{visited_count}I", signed, offset),
    )
