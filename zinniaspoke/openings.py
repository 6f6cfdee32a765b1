"""Openings that a home has given to a placer and that no target has answered yet."""

import attrs

from zinniaspoke import packets

COUNT_LIMIT = 20_000
AGE_LIMIT_S = 10.0


@attrs.define(kw_only=True, slots=True)
class _Opening:
    packet: packets.Packet
    placer_id: int
    given_s: float


class UnansweredOpenings:
    """Keeps the openings so that they can be given to the next placer when theirs is lost."""

    def __init__(self) -> None:
        """Starts empty."""
        self._openings: dict[bytes, _Opening] = {}

    def __len__(self) -> int:
        return len(self._openings)

    def note(self, packet: packets.Packet, placer_id: int, now_s: float) -> None:
        """Notes an opening; one with payload is not kept, since it must not be given twice.

        Args:
            packet: The opening.
            placer_id: The placer that it was given to.
            now_s: Current time.
        """
        flow = packet.caller_flow
        self._openings.pop(flow, None)
        if not packet.payload_bytes and len(self._openings) < COUNT_LIMIT:
            self._openings[flow] = _Opening(packet=packet, placer_id=placer_id, given_s=now_s)

    def forget(self, flow: bytes) -> None:
        """Drops an opening because it was answered or taken back.

        Args:
            flow: The flow's key.
        """
        self._openings.pop(flow, None)

    def take_lost(self, present_ids: frozenset[int]) -> list[packets.Packet]:
        """Takes out the openings whose placer is lost.

        Args:
            present_ids: Members that can be reached, leaving ones included, and this VM.

        Returns:
            The openings to give to the next placer.
        """
        lost = [o.packet for o in self._openings.values() if o.placer_id not in present_ids]
        for packet in lost:
            del self._openings[packet.caller_flow]
        return lost

    def expire(self, now_s: float) -> None:
        """Drops openings that are too old to matter.

        Args:
            now_s: Current time.
        """
        while self._openings:
            flow, oldest = next(iter(self._openings.items()))
            if now_s - oldest.given_s < AGE_LIMIT_S:
                return
            del self._openings[flow]
