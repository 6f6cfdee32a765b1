"""The fields of a caller's packet on which forwarding by routing token depends."""

import enum

import attrs


class Kind(enum.Enum):
    """Effect of a packet on its flow: open it, carry data, close it or reset it."""

    OPENING = "opening"
    DATA = "data"
    END = "end"
    RESET = "reset"


@attrs.define(kw_only=True, slots=True)
class Packet:
    """The fields of a caller's packet on which forwarding depends.

    Attributes:
        flow: Key of the flow: addresses and ports of both ends.
        route: Service address and port, packed.
        kind: Effect on the flow.
        token: The routing token that it carries; 0 for none.
        sequence: Position of its payload in the caller's bytes.
        acknowledged: How far the caller has received the target's bytes; it only advances.
        has_payload: Whether it carries bytes of the caller.
        retransmit_count: For an opening, how many copies the caller sent before this one.
        datagram: The packet as received.
    """

    flow: bytes
    route: bytes
    kind: Kind
    token: int
    sequence: int = 0
    acknowledged: int = 0
    has_payload: bool = False
    retransmit_count: int = 0
    datagram: bytes = b""
