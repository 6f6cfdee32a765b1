"""Openings that a home has sent to a placer and that no target has answered yet."""

import attrs

from zinniaspoke import packets

COUNT_LIMIT = 20_000
AGE_LIMIT_S = 10.0


@attrs.define(kw_only=True, slots=True)
class _Opening:
    packet: packets.Packet
    placer_id: int
    sent_s: float


class UnansweredOpenings:
    """Keeps openings so that they can be sent to the new placer if their placer is lost."""

    def __init__(self) -> None:
        """Creates an empty table."""
        self._openings: dict[bytes, _Opening] = {}

    def __len__(self) -> int:
        return len(self._openings)

    def add(self, packet: packets.Packet, placer_id: int, now_s: float) -> None:
        """Adds an opening, unless it carries payload, which must not be delivered twice.

        Args:
            packet: The opening.
            placer_id: The placer that it was sent to.
            now_s: Current time.
        """
        flow = packet.caller_flow
        self._openings.pop(flow, None)
        if not packet.payload_bytes and len(self._openings) < COUNT_LIMIT:
            self._openings[flow] = _Opening(packet=packet, placer_id=placer_id, sent_s=now_s)

    def discard(self, flow: bytes) -> None:
        """Removes an opening that was answered or that its caller has reset.

        Args:
            flow: The flow's key.
        """
        self._openings.pop(flow, None)

    def pop_lost(self, live_ids: frozenset[int]) -> list[packets.Packet]:
        """Removes the openings whose placer was lost.

        Args:
            live_ids: The reachable members, including leaving ones, and this VM.

        Returns:
            The removed openings, which have to be sent to the new placer.
        """
        lost = [o.packet for o in self._openings.values() if o.placer_id not in live_ids]
        for packet in lost:
            del self._openings[packet.caller_flow]
        return lost

    def expire(self, now_s: float) -> None:
        """Removes openings that are older than ``AGE_LIMIT_S``.

        Args:
            now_s: Current time.
        """
        while self._openings:
            flow, oldest = next(iter(self._openings.items()))
            if now_s - oldest.sent_s < AGE_LIMIT_S:
                return
            del self._openings[flow]
