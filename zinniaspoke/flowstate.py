"""Soft state of a flow that is forwarded by routing token."""

import enum

import attrs

from zinniaspoke import choosing, roster

# Callers retransmit after 0.2 s; a copy that arrives sooner was delayed in transit.
MIN_RETRANSMIT_S = 0.15


class Stage(enum.Enum):
    """State of a flow's handshake as observed by this VM."""

    OPENING = "opening"
    OPEN = "open"
    CLOSED = "closed"


@attrs.define(kw_only=True, slots=True)
class Flow:
    """Soft state of a flow; the routing token alone suffices once it is lost.

    Attributes:
        target: The target that receives its packets.
        load: The target's load, which includes this flow while ``is_counted``.
        stage: State of the handshake.
        opening_sent_s: When its opening was last forwarded.
        opening_count: How often its opening was forwarded, without hedges.
        counted_since_s: When it last began to count as load.
        last_packet_s: When its last packet arrived.
        acknowledged: The acknowledgment number of its last packet.
        sequence: Position of its last payload; -1 before the first.
        payload_sent_s: When that payload was first forwarded.
        retransmit_s: When it was last retransmitted.
        retransmit_count: How often it was retransmitted without an answer.
        unanswered_sent_s: When the copy before its last retransmission was forwarded.
        is_counted: Whether it counts as load: the handshake or a request is in progress.
        decided_by: What decided on the target, see ``selection.Selected``.
        hedge: The second target of a hedged opening until the flow is open; None without one.
    """

    target: roster.Target
    load: choosing.Load
    stage: Stage
    opening_sent_s: float
    counted_since_s: float
    last_packet_s: float
    acknowledged: int = 0
    sequence: int = -1
    payload_sent_s: float = 0.0
    retransmit_s: float = 0.0
    retransmit_count: int = 0
    unanswered_sent_s: float = -1e9
    is_counted: bool = True
    decided_by: str = ""
    hedge: choosing.Load | None = None
    opening_count: int = 1

    @property
    def request_s(self) -> float:
        """Time from its last new payload to its last packet."""
        return self.last_packet_s - self.payload_sent_s

    def record_payload(self, sequence: int, has_response: bool) -> bool:
        """Counts a payload that is forwarded: a new one, or a retransmission.

        Copies that arrive together, after a suspension of this VM, count as one.

        Args:
            sequence: Position of the payload.
            has_response: Whether the target has sent bytes since the last packet.

        Returns:
            Whether it is a retransmission, so that the copy before went unanswered.
        """
        now_s = self.last_packet_s
        if sequence != self.sequence or has_response:
            self.sequence = sequence
            self.payload_sent_s = self.retransmit_s = now_s
            self.retransmit_count = 0
            self.unanswered_sent_s = -1e9
            return False
        if now_s - self.retransmit_s < MIN_RETRANSMIT_S:
            return False
        self.unanswered_sent_s, self.retransmit_s = self.retransmit_s, now_s
        self.retransmit_count += 1
        return True

    def move(self, load: choosing.Load) -> None:
        """Assigns the flow to another target.

        Args:
            load: The other target's load.
        """
        if self.is_counted:
            self.load.in_flight_count -= 1
            load.in_flight_count += 1
        self.load = load
        self.target = load.target

    def add_hedge(self, load: choosing.Load) -> None:
        """Counts a hedged opening as load of its second target too.

        Args:
            load: The second target's load.
        """
        load.in_flight_count += 1
        self.hedge = load

    def drop_hedge(self) -> None:
        """Stops counting the hedged opening at its second target."""
        if self.hedge is not None:
            self.hedge.in_flight_count -= 1
            self.hedge = None

    def count_as_load(self) -> None:
        """Starts to count the flow as load of its target, unless it is closed."""
        if not self.is_counted and self.stage is not Stage.CLOSED:
            self.is_counted = True
            self.counted_since_s = self.last_packet_s
            self.load.in_flight_count += 1

    def uncount_as_load(self) -> None:
        """Stops counting the flow as load of its target, and of the second one of a hedge."""
        self.drop_hedge()
        if self.is_counted:
            self.is_counted = False
            self.load.in_flight_count -= 1
