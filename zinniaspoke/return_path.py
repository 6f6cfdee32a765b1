"""The way of packets from targets: relay, home, placer, fabric."""

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

_STATE_FLAGS = packets.SYN | packets.FIN | packets.RST


class ReturnPath:
    """Steers packets from targets."""

    def __init__(
        self,
        *,
        state: core_state.CoreState,
        placer: placer.Placer,
    ) -> None:
        """Connects the path.

        Args:
            state: What the parts of the core share.
            placer: The placer.
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
        self._packed: dict[str, bytes] = {}

    def handle_target_packet(self, packet: packets.Packet, source_host: str, now_s: float) -> None:
        """Relays a packet that a target sent.

        Args:
            packet: The packet.
            source_host: Outer source of the packet.
            now_s: Current time.
        """
        flow = packet.return_flow
        address = self._pack(source_host)
        target = self._target_at(address, packet)
        if target:
            self._note_alive(packet, target, now_s)
        if self._is_plain(packet, flow, now_s):
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
            self.at_home(packet, steering, now_s)
            return
        self._out.send_to_sibling(home_id, packet.raw, steering)

    def _note_alive(self, packet: packets.Packet, target: targets.Target, now_s: float) -> None:
        """Notes that a target lives; a reset may come from another process at its address."""
        rule = self._book.find_for_return(packet)
        if rule and rule.service == target.service and not packet.flags & packets.RST:
            self._table.states[target.tag].answered_s = now_s

    def _pack(self, host: str) -> bytes:
        packed = self._packed.get(host)
        if packed is None:
            packed = self._packed[host] = ipaddress.ip_address(host).packed
        return packed

    def _is_plain(self, packet: packets.Packet, flow: bytes, now_s: float) -> bool:
        """Tells whether a packet changes no flow's state and needs no home."""
        if packet.protocol == packets.TCP:
            return not packet.flags & _STATE_FLAGS
        return bool(self._witnesses.get(flow, now_s))

    def _target_at(self, address: bytes, packet: packets.Packet) -> targets.Target | errors.Nothing:
        rule = self._book.find_for_return(packet)
        return self._table.at_address(address, rule.service if rule else None)

    def at_home(self, packet: packets.Packet, steering: geneve.Steering, now_s: float) -> None:
        """Shows an answer that changes a flow's state to the flow's home.

        Args:
            packet: The answer.
            steering: The relay's option, with the target's address.
            now_s: Current time.
        """
        target = self._target_at(steering.address, packet)
        if not target:
            self._counts.drops[target.reason] += 1
            return
        flow = packet.return_flow
        record = self._records.get(flow)
        if record is not None and record.target.tag != target.tag and not record.is_closed:
            self._drop_other(packet, record, target)
            return
        is_answer = packet.flags & packets.SYN or packet.protocol == packets.UDP
        if is_answer and (record is None or record.is_closed):
            record = self._fix_target(packet, flow, target, steering.sender_id, now_s)
        if record is not None:
            was_counted = record.is_counted
            record.observe_target_packet(packet, now_s)
            self._records.uncount_if_ended(record)
            if was_counted and not record.is_counted:
                self._recorder.record_end(target.service, False, now_s)
        self._show(packet, target, now_s)

    def _drop_other(
        self, packet: packets.Packet, record: flows.Flow, target: targets.Target
    ) -> None:
        """Drops an answer from another target than the flow's, and resets that target."""
        self._counts.drops["other_target"] += 1
        if packet.flags & packets.SYN:
            self._out.send_to_target(target, packets.build_reset_reply(packet))

    def _fix_target(
        self,
        packet: packets.Packet,
        flow: bytes,
        target: targets.Target,
        relay_id: int,
        now_s: float,
    ) -> flows.Flow:
        """Makes the flow's record: its first answer fixes its target."""
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
        if self._checks.holds(is_first, "only the first answer fixes a target", flow):
            self._records.add(record)
        self._unanswered.forget(flow)
        return record

    def _show(self, packet: packets.Packet, target: targets.Target, now_s: float) -> None:
        """Passes an answer to the caller by way of the placer, which counts it."""
        placer_id = self._members.placer_id(target.service.encode())
        steering = geneve.Steering(
            step=geneve.Step.RETURN_VIA_PLACER,
            hop_count=1,
            origin_id=self._own_id,
            target_tag=target.tag,
        )
        if placer_id == self._own_id:
            self.at_placer(packet, steering, now_s)
            return
        self._out.send_to_sibling(placer_id, packet.raw, steering)

    def at_placer(self, packet: packets.Packet, steering: geneve.Steering, now_s: float) -> None:
        """Counts an answer as the placer, and relays it to the caller.

        Args:
            packet: The answer.
            steering: The home's option, with the target.
            now_s: Current time.
        """
        state = self._table.states.get(steering.target_tag)
        if state is None:
            self._counts.drops["unknown_target"] += 1
            return
        target = state.target
        if packet.flags & packets.RST:
            if self._placer.note_refused(packet, target, now_s):
                return
            self._placer.note_end(packet.return_flow, target, now_s)
        elif packet.flags & packets.FIN:
            self._placer.note_end(packet.return_flow, target, now_s)
        elif not self._placer.note_answer(packet, target, steering.origin_id, now_s):
            self._reject(packet, steering, target)
            return
        self._out.send_to_fabric(packet.raw)

    def _reject(
        self, packet: packets.Packet, steering: geneve.Steering, target: targets.Target
    ) -> None:
        """Sends a cancelled target's answer back, so that its home forgets that target."""
        self._counts.drops["cancelled_target"] += 1
        rejected = geneve.Steering(step=geneve.Step.REJECTED, hop_count=1, target_tag=target.tag)
        if steering.origin_id == self._own_id:
            self.rejected(packet, rejected, 0.0)
            return
        self._out.send_to_sibling(steering.origin_id, packet.raw, rejected)

    def rejected(self, packet: packets.Packet, steering: geneve.Steering, now_s: float) -> None:
        """Forgets a target whose attempt was cancelled before it answered.

        Args:
            packet: The late answer.
            steering: The placer's option.
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
