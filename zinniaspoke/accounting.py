"""What the packets of a flow tell of its target's load, health and response times."""

import collections

from zinniaspoke import (
    backlog,
    callerpacket,
    choosing,
    counters,
    flowstate,
    hedging,
    observer,
    resets,
    selection,
)

# A reachable target answers an opening within a few round trips. An opening that was refused, lost
# or answered after its caller's timeout counts as load no longer than this; a retransmission
# counts again.
OPENING_LOAD_S = 0.2


class Accounting:
    """Counts flows as load and passes on what their packets show; does not choose targets.

    Attributes:
        backlogs: Queued openings by service; their estimates need the durations of requests.
        newly_suspected: Targets that became suspected since this list was last cleared.
    """

    def __init__(
        self,
        *,
        judge: resets.Judge,
        hedger: hedging.Hedger,
        selector: selection.Selector,
        evidence: observer.Observer | None,
        counts: counters.Counters,
        own_zone: str,
    ) -> None:
        """Starts without flows.

        Args:
            judge: Collects evidence of targets that are gone.
            hedger: Learns how soon openings are answered.
            selector: Learns how long requests take.
            evidence: What is reported to other entry VMs, if it is.
            counts: Counters of this process.
            own_zone: This VM's availability zone.
        """
        self._judge = judge
        self._hedger = hedger
        self._selector = selector
        self._evidence = evidence
        self._counts = counts
        self._own_zone = own_zone
        self.backlogs = collections.defaultdict[str, backlog.Backlog](backlog.Backlog)
        self.newly_suspected: list[choosing.Load] = []
        # Openings that count as load, with the time of forwarding, oldest first.
        self._sent_openings = collections.deque[tuple[float, flowstate.Flow]]()

    def record_opening(self, flow: flowstate.Flow, now_s: float) -> None:
        """Counts an opening that is forwarded as load for a while.

        Args:
            flow: Its flow.
            now_s: Current time.
        """
        self._sent_openings.append((now_s, flow))
        flow.count_as_load()

    def record_failure(self, flow: flowstate.Flow, sent_s: float, now_s: float) -> None:
        """Records that a flow's target did not answer.

        Args:
            flow: The flow.
            sent_s: When the unanswered packet was sent.
            now_s: Current time.
        """
        if self._evidence is not None:
            self._evidence.record_failure(flow.target.token, sent_s, now_s)
        if flow.load.record_failure(sent_s, now_s):
            self.newly_suspected.append(flow.load)

    def complete_handshake(
        self,
        flow: flowstate.Flow,
        answered: choosing.Load,
        packet: callerpacket.Packet,
        now_s: float,
    ) -> None:
        """Opens a flow: its first packet after the opening names the target that answered.

        Args:
            flow: The flow.
            answered: That target.
            packet: The packet.
            now_s: Current time.
        """
        elapsed_s = now_s - flow.opening_sent_s
        if answered is flow.hedge:
            self._counts.events["hedges_won"] += 1
        elif flow.hedge is None and flow.opening_count == 1:
            self._hedger.record_answer(
                service=answered.target.service,
                is_own_zone=answered.target.zone == self._own_zone,
                elapsed_s=elapsed_s,
            )
        flow.drop_hedge()
        if answered is not flow.load:
            flow.move(answered)
        flow.stage = flowstate.Stage.OPEN
        flow.count_as_load()
        flow.acknowledged = packet.acknowledged
        if packet.has_payload:
            flow.record_payload(packet.sequence, has_response=True)
        answered.record_answer(now_s)
        self._judge.heard_s = now_s
        if self._evidence is not None:
            self._evidence.record_answer(answered.target.token, now_s)
        self._counts.histograms["handshake"].note(elapsed_s)
        self._counts.events["flows_opened"] += 1

    def update_load(self, flow: flowstate.Flow, packet: callerpacket.Packet) -> None:
        """Counts a request as load from its first bytes until the caller acknowledges a response.

        The rest of the response is sent by the target's kernel and occupies none of its slots.

        Args:
            flow: The flow.
            packet: Its packet, received at ``flow.last_packet_s``.
        """
        has_response = packet.acknowledged != flow.acknowledged
        flow.acknowledged = packet.acknowledged
        if has_response:
            self._record_response(flow, packet)
        if packet.has_payload:
            is_repeated = flow.record_payload(packet.sequence, has_response)
            if is_repeated:
                self._judge.note_unanswered(flow.load, flow.unanswered_sent_s, flow.last_packet_s)
            flow.count_as_load()
        elif has_response:
            if flow.is_counted and flow.sequence >= 0:
                self._selector.record_response(
                    flow.load, packet.route, flow.request_s, flow.last_packet_s
                )
            self._finish_request(flow)

    def _record_response(self, flow: flowstate.Flow, packet: callerpacket.Packet) -> None:
        now_s = flow.last_packet_s
        flow.load.record_bytes(now_s)
        if flow.is_counted or flow.retransmit_count:
            self._judge.note_answered(flow.retransmit_count, now_s)
        flow.retransmit_count = 0
        if self._evidence is None:
            return
        self._evidence.record_answer(flow.target.token, now_s)
        if flow.is_counted and not packet.has_payload:
            route = (flow.target.service, packet.route)
            started_s = flow.counted_since_s
            self._evidence.record_duration(flow.target.token, route, started_s, now_s)

    def _finish_request(self, flow: flowstate.Flow) -> None:
        if flow.is_counted:
            duration_s = flow.last_packet_s - flow.counted_since_s
            self.backlogs[flow.target.service].record_duration(duration_s)
        flow.uncount_as_load()

    def close(self, flow: flowstate.Flow) -> None:
        """Stops counting a flow that its caller has closed or reset.

        Args:
            flow: The flow.
        """
        if flow.stage is flowstate.Stage.OPEN:
            self._finish_request(flow)
        flow.stage = flowstate.Stage.CLOSED
        flow.uncount_as_load()

    def uncount_unanswered(self, now_s: float) -> None:
        """Stops counting openings as load that got no answer within ``OPENING_LOAD_S``.

        Args:
            now_s: Current time.
        """
        while self._sent_openings and now_s - self._sent_openings[0][0] > OPENING_LOAD_S:
            opening_sent_s, flow = self._sent_openings.popleft()
            if (
                flow.stage is flowstate.Stage.OPENING
                and flow.opening_sent_s == opening_sent_s
                and flow.is_counted
            ):
                self.backlogs[flow.target.service].record_duration(now_s - opening_sent_s)
                flow.uncount_as_load()
