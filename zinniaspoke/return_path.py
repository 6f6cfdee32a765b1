"""Forwarding of packets from targets to callers.

Any entry VM may receive a target's packet and relays it. Packets that change no flow's state go
straight to the fabric. The others (the first answer, FIN and RST) pass the flow's home, which
updates its record, and the service's placer, which updates its counts.
"""

import ipaddress

from zinniaspoke import (
    core_state,
    errors,
    flows,
    geneve,
    packets,
    placer,
    targets,
)

_STATE_CHANGING_FLAGS = packets.SYN | packets.FIN | packets.RST


class ReturnPath:
    """Forwards packets from targets, in each role that this VM may have for a flow."""

    def __init__(
        self,
        *,
        state: core_state.CoreState,
        placer: placer.Placer,
    ) -> None:
        """Connects the path to the other parts of the core.

        Args:
            state: State shared by the parts of the core.
            placer: The placer of this VM.
        """
        self._members = state.members
        self._own_id = state.members.own.id
        self._table = state.target_table
        self._book = state.rule_book
        self._records = state.flow_table
        self._witnesses = state.witnesses
        self._unanswered = state.unanswered
        self._placer = placer
        self._out = state.out
        self._checks = state.checks
        self._counts = state.counts
        self._recorder = state.level_recorder
        self._packed_addresses: dict[str, bytes] = {}

    def handle_target_packet(self, packet: packets.Packet, source_host: str, now_s: float) -> None:
        """Relays a packet that a target sent.

        Args:
            packet: The packet.
            source_host: Outer source address of the packet.
            now_s: Current time.
        """
        flow = packet.return_flow
        address = self._packed_address(source_host)
        target = self._target_at(address, packet)
        if target:
            self._record_liveness(packet, target, now_s)
        if self._bypasses_home(packet, flow, now_s):
            if target:
                self._witnesses.observe(flow, target, packet, now_s)
            self._out.send_to_fabric(packet.raw)
            return
        if target and not packet.flags & packets.RST:
            self._witnesses.observe(flow, target, packet, now_s)
        home_id = self._members.home_id(flow)
        steering = geneve.Steering(
            step=geneve.Step.RETURN, hop_count=1, address=address, sender_id=self._own_id
        )
        if home_id == self._own_id:
            self.handle_at_home(packet, steering, now_s)
            return
        self._out.send_to_sibling(home_id, packet.raw, steering)

    def _record_liveness(
        self, packet: packets.Packet, target: targets.Target, now_s: float
    ) -> None:
        """Records that a target answers; a reset may come from another process at its address."""
        rule = self._book.find_for_return(packet)
        if rule and rule.service == target.service and not packet.flags & packets.RST:
            self._table.states[target.tag].answered_s = now_s

    def _packed_address(self, host: str) -> bytes:
        packed = self._packed_addresses.get(host)
        if packed is None:
            packed = self._packed_addresses[host] = ipaddress.ip_address(host).packed
        return packed

    def _bypasses_home(self, packet: packets.Packet, flow: bytes, now_s: float) -> bool:
        """Returns whether a packet changes no flow's state, so that its home need not see it."""
        if packet.protocol == packets.TCP:
            return not packet.flags & _STATE_CHANGING_FLAGS
        return bool(self._witnesses.get(flow, now_s))

    def _target_at(self, address: bytes, packet: packets.Packet) -> targets.Target | errors.Nothing:
        rule = self._book.find_for_return(packet)
        return self._table.at_address(address, rule.service if rule else None)

    def handle_at_home(
        self, packet: packets.Packet, steering: geneve.Steering, now_s: float
    ) -> None:
        """Handles, as the home, a target's packet that changes its flow's state.

        Args:
            packet: The target's packet.
            steering: The steering option that the relay set, with the target's address.
            now_s: Current time.
        """
        target = self._target_at(steering.address, packet)
        if not target:
            self._counts.drops[target.reason] += 1
            return
        flow = packet.return_flow
        record = self._records.get(flow)
        if record is not None and record.target.tag != target.tag and not record.is_closed:
            self._drop_from_wrong_target(packet, record, target)
            return
        is_answer = packet.flags & packets.SYN or packet.protocol == packets.UDP
        if is_answer and (record is None or record.is_closed):
            record = self._create_record(packet, flow, target, steering.sender_id, now_s)
        if record is not None:
            was_counted = record.is_counted
            record.observe_target_packet(packet, now_s)
            self._records.uncount_if_ended(record)
            if was_counted and not record.is_counted:
                self._recorder.record_end(target.service, False, now_s)
        self._send_via_placer(packet, target, now_s)

    def _drop_from_wrong_target(
        self, packet: packets.Packet, record: flows.Flow, target: targets.Target
    ) -> None:
        """Drops a packet from a target that the flow does not belong to.

        If the target accepted a connection, the connection is reset.
        """
        self._counts.drops["other_target"] += 1
        if packet.flags & packets.SYN:
            self._out.send_to_target(target, packets.build_reset_reply(packet))

    def _create_record(
        self,
        packet: packets.Packet,
        flow: bytes,
        target: targets.Target,
        relay_id: int,
        now_s: float,
    ) -> flows.Flow:
        """Creates the flow's record; the target that answers first becomes the flow's target."""
        placer_id = self._members.placer_id(target.service.encode())
        incarnation_id_of = self._members.incarnation_id_of
        rule = self._book.find_for_return(packet)
        record = flows.Flow(
            key=flow,
            target=target,
            is_long=bool(rule and rule.is_long),
            opened_s=now_s,
            requested_s=self._recorder.record_answered(flow, now_s),
            seen_s=now_s,
            caller_sequence=packet.acknowledgment,
            caller_acknowledgment=packet.next_sequence,
            witness_incarnation_ids=(incarnation_id_of(placer_id), incarnation_id_of(relay_id)),
        )
        known = self._records.get(flow)
        is_first = known is None or known.is_closed
        if self._checks.holds(is_first, "only the first answer sets the target of a flow", flow):
            self._records.add(record)
        self._unanswered.discard(flow)
        return record

    def _send_via_placer(
        self, packet: packets.Packet, target: targets.Target, now_s: float
    ) -> None:
        """Sends a packet to the caller through the placer, which counts openings and ends."""
        placer_id = self._members.placer_id(target.service.encode())
        steering = geneve.Steering(
            step=geneve.Step.RETURN_VIA_PLACER,
            hop_count=1,
            origin_id=self._own_id,
            target_tag=target.tag,
        )
        if placer_id == self._own_id:
            self.handle_at_placer(packet, steering, now_s)
            return
        self._out.send_to_sibling(placer_id, packet.raw, steering)

    def handle_at_placer(
        self, packet: packets.Packet, steering: geneve.Steering, now_s: float
    ) -> None:
        """Counts a target's packet as the placer, and forwards it to the caller.

        Args:
            packet: The target's packet.
            steering: The steering option that the home set, with the target.
            now_s: Current time.
        """
        state = self._table.states.get(steering.target_tag)
        if state is None:
            self._counts.drops["unknown_target"] += 1
            return
        target = state.target
        if packet.flags & packets.RST:
            if self._placer.handle_refusal(packet, target, now_s):
                return
            self._placer.handle_end(packet.return_flow, target, now_s)
        elif packet.flags & packets.FIN:
            self._placer.handle_end(packet.return_flow, target, now_s)
        elif not self._placer.handle_answer(packet, target, steering.origin_id, now_s):
            self._reject(packet, steering, target)
            return
        self._out.send_to_fabric(packet.raw)

    def _reject(
        self, packet: packets.Packet, steering: geneve.Steering, target: targets.Target
    ) -> None:
        """Returns the answer of a cancelled attempt to the home, which discards its record."""
        self._counts.drops["cancelled_target"] += 1
        rejected = geneve.Steering(step=geneve.Step.REJECTED, hop_count=1, target_tag=target.tag)
        if steering.origin_id == self._own_id:
            self.handle_rejected(packet, rejected, 0.0)
            return
        self._out.send_to_sibling(steering.origin_id, packet.raw, rejected)

    def handle_rejected(
        self, packet: packets.Packet, steering: geneve.Steering, now_s: float
    ) -> None:
        """Discards the record of a flow whose attempt at a target had been cancelled.

        Args:
            packet: The late answer of that target.
            steering: The steering option that the placer set.
            now_s: Current time.
        """
        flow = packet.return_flow
        record = self._records.get(flow)
        if record is None or record.target.tag != steering.target_tag:
            return
        if record.stage is not flows.Stage.ANSWERED or record.payload_forwarded:
            return
        self._records.discard(flow)
        self._witnesses.discard(flow)
