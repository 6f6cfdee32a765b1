"""Whether an open flow's target must be gone, so that the flow may be reset.

See ``docs/design/resets.md`` for the evidence and the probabilities.
"""

import collections
import math
from collections.abc import Iterable

import attrs

from zinniaspoke import choosing, flowstate

# Share of packets that go unanswered with a loss of 0.1% in either direction.
LEAST_UNANSWERED_SHARE = 0.002
# Packets by which the assumed share is weighed against the measured one.
ASSUMED_PACKET_COUNT = 200
# The measured share covers about this many packets.
MEASURED_PACKET_COUNT = 1000
# Chance, for one request, that the packets of a target that lives go unanswered so often.
FALSE_PROOF_CHANCE = 1e-7
LEAST_SPAN_COUNT = 3
# Packets sent within this time of each other may be lost together and count as one.
SPAN_S = 0.1
# Older evidence is void: the target may have been cut off and be reachable again.
EVIDENCE_S = 3.0
# A caller retransmits after 0.2 s; one that has not done so by then has been acknowledged.
ACKNOWLEDGED_AFTER_S = 0.35
# A zone's other targets prove that it is cut off if so many of them are silent.
ZONE_TARGET_COUNT = 3
ZONE_RETRANSMIT_COUNT = 2
RECORD_LIMIT = 256
# Packets that arrive so soon after each other find the link in one busy time.
BUSY_GAP_S = 0.05
BUSY_COUNT_LIMIT = 64

TARGET_ENDED = "target_ended"
TARGET_SILENT = "target_silent"
ZONE_SILENT = "zone_silent"


@attrs.define(kw_only=True, slots=True)
class Silence:
    """Packets that went unanswered.

    Attributes:
        spans: When they were sent, with the tokens of their targets; those sent within ``SPAN_S``
            of an earlier entry are part of it.
    """

    spans: list[tuple[float, set[int]]] = attrs.field(factory=list)

    def add(self, token: int, sent_s: float, now_s: float) -> None:
        """Adds an unanswered packet.

        Args:
            token: Its target's token.
            sent_s: When it was sent.
            now_s: Current time.
        """
        self.spans = self.since(now_s - EVIDENCE_S)
        for known_s, tokens in self.spans:
            if abs(known_s - sent_s) < SPAN_S:
                tokens.add(token)
                return
        self.spans.append((sent_s, {token}))

    def since(self, time_s: float) -> list[tuple[float, set[int]]]:
        """Returns the entries sent at a time or later.

        Args:
            time_s: The time.
        """
        return [span for span in self.spans if span[0] >= time_s]


class Judge:
    """Collects evidence of targets that are gone, as far as it passes through this VM.

    Attributes:
        heard_s: When any target was last heard.
    """

    def __init__(self) -> None:
        """Starts without evidence."""
        self.heard_s = -1e9
        self._sent_count = 0.0
        self._unanswered_count = 0.0
        self._targets: dict[int, Silence] = {}
        self._zones: dict[str, Silence] = {}
        self._ended_s: dict[int, float] = {}
        self._busy: collections.deque[list[float]] = collections.deque(maxlen=BUSY_COUNT_LIMIT)

    def record_link_busy(self, now_s: float) -> None:
        """Records that packets wait for this VM's link, so that what is sent now is delayed.

        Args:
            now_s: Current time.
        """
        if self._busy and now_s - self._busy[-1][1] <= BUSY_GAP_S:
            self._busy[-1][1] = now_s
        else:
            self._busy.append([now_s, now_s])

    def was_link_busy(self, time_s: float) -> bool:
        """Whether packets waited for this VM's link at a time.

        Args:
            time_s: The time.
        """
        return any(start_s <= time_s <= end_s for start_s, end_s in self._busy)

    @property
    def needed_spans(self) -> int:
        """Number of spans without an answer that prove a target gone at the measured loss."""
        share = (ASSUMED_PACKET_COUNT * LEAST_UNANSWERED_SHARE + self._unanswered_count) / (
            ASSUMED_PACKET_COUNT + self._sent_count
        )
        share = min(max(share, LEAST_UNANSWERED_SHARE), 0.5)
        return max(LEAST_SPAN_COUNT, math.ceil(math.log(FALSE_PROOF_CHANCE) / math.log(share)))

    def note_answered(self, retransmit_count: int, now_s: float) -> None:
        """Counts a request that a target has answered.

        Args:
            retransmit_count: How often its caller had retransmitted it.
            now_s: Current time.
        """
        self.heard_s = now_s
        self._sent_count += 1 + retransmit_count
        self._unanswered_count += retransmit_count
        if self._sent_count > MEASURED_PACKET_COUNT:
            self._sent_count /= 2
            self._unanswered_count /= 2

    def note_unanswered(self, load: choosing.Load, sent_s: float, now_s: float) -> None:
        """Counts a packet with bytes of a request that was retransmitted.

        One that had to wait for this VM's link does not count.

        Args:
            load: Its target.
            sent_s: When it was sent.
            now_s: Current time.
        """
        if self.was_link_busy(sent_s):
            return
        token = load.target.token
        if len(self._targets) > RECORD_LIMIT:
            oldest_s = now_s - EVIDENCE_S
            self._targets = {t: s for t, s in self._targets.items() if s.since(oldest_s)}
        self._targets.setdefault(token, Silence()).add(token, sent_s, now_s)
        self._zones.setdefault(load.target.zone, Silence()).add(token, sent_s, now_s)

    def note_ended(self, token: int, now_s: float) -> None:
        """Records that a target has ended or started again, by its own word.

        Args:
            token: Token of the incarnation that has ended.
            now_s: Current time.
        """
        self._ended_s.setdefault(token, now_s)

    def note_running(self, token: int) -> None:
        """Records that a target runs, by its own word; it may have been taken for ended before.

        Args:
            token: Token of the incarnation.
        """
        self._ended_s.pop(token, None)

    def keep_ended(self, tokens: Iterable[int]) -> None:
        """Forgets that targets have ended, except for those given.

        Args:
            tokens: Tokens of the targets that are known.
        """
        self._ended_s = {t: self._ended_s[t] for t in tokens if t in self._ended_s}

    def find_proof(
        self, flow: flowstate.Flow, flows: Iterable[flowstate.Flow], now_s: float
    ) -> str:
        """Returns what proves that a flow's target is gone; empty if nothing does.

        Args:
            flow: The flow; its request was retransmitted.
            flows: All flows of this VM.
            now_s: Current time.
        """
        load = flow.load
        if flow.unanswered_sent_s >= self._ended_s.get(load.target.token, math.inf):
            return "" if self.was_link_busy(flow.unanswered_sent_s) else TARGET_ENDED
        alive_s = max(load.heard_s, load.answered_s)
        if alive_s > flow.payload_sent_s:
            return ""
        oldest_s = now_s - EVIDENCE_S
        needed = self.needed_spans
        silence = self._targets.get(load.target.token)
        spans = silence.since(max(alive_s, oldest_s)) if silence else []
        if len(spans) >= needed and self._proves(spans) and not _is_serving(load, flows, now_s):
            return TARGET_SILENT
        if flow.retransmit_count < ZONE_RETRANSMIT_COUNT:
            return ""
        silence = self._zones.get(load.target.zone)
        spans = silence.since(max(load.zone.answered_s, oldest_s)) if silence else []
        others = set().union(*(tokens for _, tokens in spans)) - {load.target.token}
        if len(spans) > needed and len(others) >= ZONE_TARGET_COUNT and self._proves(spans):
            return ZONE_SILENT
        return ""

    def _proves(self, spans: list[tuple[float, set[int]]]) -> bool:
        """Whether another target was heard meanwhile, so that this VM's own link works."""
        return self.heard_s > min(sent_s for sent_s, _ in spans)


def _is_serving(load: choosing.Load, flows: Iterable[flowstate.Flow], now_s: float) -> bool:
    """Whether as many requests were acknowledged by the target as were retransmitted to it."""
    alive_s = max(load.heard_s, load.answered_s)
    acknowledged_count = retransmitted_count = 0
    for flow in flows:
        is_waiting = flow.load is load and flow.stage is flowstate.Stage.OPEN and flow.is_counted
        if not is_waiting or flow.payload_sent_s <= alive_s:
            continue
        if flow.retransmit_count:
            retransmitted_count += 1
        elif now_s - flow.payload_sent_s > ACKNOWLEDGED_AFTER_S:
            acknowledged_count += 1
    return acknowledged_count >= max(1, retransmitted_count)
