"""Forwarding of packets from callers to targets.

A packet goes to the flow's home, which forwards it to the target on record. An opening is sent to
the service's placer. For a packet of a flow without a record, the home recovers the target from its
own witnesses and placements or from its siblings, the other entry VMs.
"""

from zinniaspoke import (
    copies,
    core_state,
    events,
    flows,
    geneve,
    packets,
    placer,
    targets,
)

HOP_LIMIT = 8
STALL_RETRANSMIT_COUNT = 4
STALL_TIMEOUT_S = 3.0


class CallerPath:
    """Forwards packets from callers, in each role that this VM may have for a flow."""

    def __init__(
        self,
        *,
        state: core_state.CoreState,
        placer: placer.Placer,
        copy_sender: copies.CopySender,
    ) -> None:
        """Connects the path to the other parts of the core.

        Args:
            state: State shared by the parts of the core.
            placer: The placer of this VM.
            copy_sender: Sends copies of flow records to siblings.
        """
        self._members = state.members
        self._own_id = state.members.own.id
        self._table = state.target_table
        self._book = state.rule_book
        self._records = state.flow_table
        self._witnesses = state.witnesses
        self._unanswered = state.unanswered
        self._placer = placer
        self._copy_sender = copy_sender
        self._out = state.out
        self._checks = state.checks
        self._counts = state.counts
        self._recorder = state.level_recorder

    def handle_fabric_packet(self, packet: packets.Packet, now_s: float) -> None:
        """Handles a packet that the fabric delivered to this VM.

        Args:
            packet: The packet.
            now_s: Current time.
        """
        flow = packet.caller_flow
        home_id = self._members.home_id(flow)
        if home_id == self._own_id:
            self._steer_at_home(packet, flow, now_s)
            return
        steering = geneve.Steering(
            step=geneve.Step.TO_HOME, hop_count=1, rule_number=self._book.number
        )
        self._out.send_to_sibling(home_id, packet.raw, steering)

    def handle_at_home(
        self, packet: packets.Packet, steering: geneve.Steering, now_s: float
    ) -> None:
        """Handles a packet that a sibling forwarded to this VM as the home of its flow.

        Where the views of the membership differ, the packet is forwarded again, at most
        ``HOP_LIMIT`` times.

        Args:
            packet: The packet.
            steering: The steering option that the sibling set.
            now_s: Current time.
        """
        flow = packet.caller_flow
        home_id = self._members.home_id(flow)
        if home_id in (self._own_id, steering.sender_id) or self._records.get(flow) is not None:
            self._steer_at_home(packet, flow, now_s)
            return
        steering.hop_count += 1
        if steering.hop_count > HOP_LIMIT:
            self._counts.drops["hop_limit"] += 1
            return
        self._out.send_to_sibling(home_id, packet.raw, steering)

    def _steer_at_home(self, packet: packets.Packet, flow: bytes, now_s: float) -> None:
        record = self._records.get(flow)
        if packet.is_opening:
            self._handle_opening(packet, flow, record, now_s)
        elif record is not None:
            self._forward(packet, record, now_s)
        elif packet.protocol == packets.UDP:
            self._handle_unknown_udp(packet, flow, now_s)
        else:
            self._recover(packet, flow, now_s)

    def _handle_opening(
        self, packet: packets.Packet, flow: bytes, record: flows.Flow | None, now_s: float
    ) -> None:
        is_fresh = record is not None and record.is_closed
        if is_fresh:
            self._records.discard(flow)
            self._witnesses.discard(flow)
        elif record is not None:
            self._forward(packet, record, now_s)
            return
        if self._records.is_full:
            self._refuse_for_full_table(packet)
            return
        self._send_to_placer(packet, flow, is_fresh, now_s)

    def _refuse_for_full_table(self, packet: packets.Packet) -> None:
        self._counts.events["refused_table_full"] += 1
        if packet.protocol == packets.TCP:
            self._out.send_to_fabric(packets.build_reset_reply(packet))

    def _handle_unknown_udp(self, packet: packets.Packet, flow: bytes, now_s: float) -> None:
        """Recovers a UDP flow if any VM knows it, and otherwise sends it to the placer."""
        if self._adopt_if_known(packet, flow, now_s):
            return
        if self._placer.get(flow) is None:
            self._query_siblings(
                packet, flow, geneve.Steering(step=geneve.Step.SEEK, hop_count=0), now_s
            )
            return
        self._send_to_placer(packet, flow, False, now_s)

    def _send_to_placer(
        self, packet: packets.Packet, flow: bytes, is_fresh: bool, now_s: float
    ) -> None:
        rule = self._book.find_for_caller(packet)
        if not rule:
            self._counts.drops[rule.reason] += 1
            return
        self._recorder.record_opening(flow, rule.service, now_s)
        placer_id = self._members.placer_id(rule.service.encode())
        if placer_id == self._own_id:
            self._placer.handle_opening(packet, rule, self._own_id, is_fresh, now_s)
            return
        self._unanswered.add(packet, placer_id, now_s)
        steering = geneve.Steering(
            step=geneve.Step.PLACE,
            hop_count=1,
            is_fresh=is_fresh,
            rule_number=self._book.number,
            origin_id=self._own_id,
        )
        self._out.send_to_sibling(placer_id, packet.raw, steering)

    def resend_lost_openings(self, live_ids: frozenset[int], now_s: float) -> None:
        """Sends the unanswered openings of lost placers to the new placers of their services.

        Args:
            live_ids: The reachable members and this VM.
            now_s: Current time.
        """
        for packet in self._unanswered.pop_lost(live_ids):
            self._counts.events["openings_given_again"] += 1
            self._send_to_placer(packet, packet.caller_flow, False, now_s)

    def handle_at_placer(
        self, packet: packets.Packet, steering: geneve.Steering, now_s: float
    ) -> None:
        """Handles an opening that its home sent to this VM as the placer.

        Args:
            packet: The opening.
            steering: The steering option that the home set.
            now_s: Current time.
        """
        if steering.rule_number > self._book.number:
            self._counts.drops["rules_behind"] += 1
            return
        rule = self._book.find_for_caller(packet)
        if not rule:
            self._counts.drops[rule.reason] += 1
            return
        self._placer.handle_opening(packet, rule, steering.origin_id, steering.is_fresh, now_s)

    def _forward(self, packet: packets.Packet, record: flows.Flow, now_s: float) -> None:
        """Forwards a packet of a known flow to the flow's target."""
        target = record.target
        if self._table.is_replaced(target):
            self._reset_orphan(packet, record, now_s)
            return
        if record.stage is flows.Stage.ANSWERED and not packet.is_opening:
            self._placer.observe_caller_round_trip(now_s - record.opened_s)
        was_counted = record.is_counted
        record.observe_caller_packet(packet, now_s)
        self._records.uncount_if_ended(record)
        self._record_service_levels(record, was_counted, now_s)
        if record.retransmit_count >= STALL_RETRANSMIT_COUNT and self._is_flow_stalled(
            record, now_s
        ):
            self.reset_both_ends(record, "silent")
            self._recorder.record_end(record.target.service, True, now_s)
            return
        if packet.flags & packets.RST:
            self._forward_reset(packet, record, now_s)
            return
        self._out.send_to_target(target, packet.raw)

    def _record_service_levels(self, record: flows.Flow, was_counted: bool, now_s: float) -> None:
        service = record.target.service
        if record.requested_s >= 0.0 and record.payload_forwarded and not record.awaits_answer:
            if not record.is_long:
                self._recorder.record_first_answer(service, now_s - record.requested_s, now_s)
            record.requested_s = -1.0
        if was_counted and not record.is_counted:
            self._recorder.record_end(service, False, now_s)

    def _is_flow_stalled(self, record: flows.Flow, now_s: float) -> bool:
        """Returns whether a flow stalls while its target still answers others.

        If the whole target or the path to it is silent, the flow is not reset.
        """
        if now_s - record.first_retransmit_s < STALL_TIMEOUT_S:
            return False
        state = self._table.states.get(record.target.tag)
        return state is not None and state.answered_s > record.first_retransmit_s

    def _reset_orphan(self, packet: packets.Packet, record: flows.Flow, now_s: float) -> None:
        """Resets a flow towards its caller, since the target's process was replaced.

        The outcome of the flow's work is unknown.
        """
        self._records.discard(record.key)
        self._witnesses.discard(record.key)
        self._counts.events["flows_of_replaced_targets"] += 1
        self._recorder.record_end(record.target.service, True, now_s)
        if packet.protocol == packets.TCP and not packet.flags & packets.RST:
            self._out.send_to_fabric(packets.build_reset_reply(packet))

    def reset_both_ends(self, record: flows.Flow, why: str) -> None:
        """Resets a flow at both ends; the outcome of its work is unknown.

        Args:
            record: The flow.
            why: Reason, for the log.
        """
        self._out.log(events.FLOW_RESET, record.target.name, f"{why}: {record.key.hex()}")
        self._records.discard(record.key)
        self._witnesses.discard(record.key)
        if record.key[0] != packets.TCP:
            return
        size = (len(record.key) - 5) // 2
        caller, caller_port = record.key[1 : 1 + size], record.key[1 + size : 3 + size]
        service, service_port = record.key[3 + size : 3 + 2 * size], record.key[3 + 2 * size :]
        to_target = packets.build_tcp(
            source=caller,
            source_port=caller_port,
            destination=service,
            destination_port=service_port,
            flags=packets.RST,
            sequence=record.caller_sequence,
        )
        to_caller = packets.build_tcp(
            source=service,
            source_port=service_port,
            destination=caller,
            destination_port=caller_port,
            flags=packets.RST,
            sequence=record.caller_acknowledgment,
        )
        self._send_reset_via_placer(to_target, record)
        self._out.send_to_fabric(to_caller)

    def _forward_reset(self, packet: packets.Packet, record: flows.Flow, now_s: float) -> None:
        self._send_reset_via_placer(packet.raw, record, now_s)

    def _send_reset_via_placer(
        self, raw: bytes, record: flows.Flow, now_s: float | None = None
    ) -> None:
        """Sends a reset to the target through the placer, which counts the end of the flow."""
        placer_id = self._members.placer_id(record.target.service.encode())
        if placer_id == self._own_id:
            time_s = record.seen_s if now_s is None else now_s
            self._placer.handle_end(record.key, record.target, time_s)
            self._out.send_to_target(record.target, raw)
            return
        steering = geneve.Steering(
            step=geneve.Step.CALLER_VIA_PLACER,
            hop_count=1,
            origin_id=self._own_id,
            target_tag=record.target.tag,
        )
        self._out.send_to_sibling(placer_id, raw, steering)

    def handle_reset_at_placer(
        self, packet: packets.Packet, steering: geneve.Steering, now_s: float
    ) -> None:
        """Counts a caller's reset as the placer, and forwards it to the target.

        Args:
            packet: The reset.
            steering: The steering option that the home set; without a target tag, the opening is
                still unanswered and is cancelled.
            now_s: Current time.
        """
        if not steering.target_tag:
            self._placer.cancel_opening(packet, now_s)
            return
        state = self._table.states.get(steering.target_tag)
        if state is None:
            self._counts.drops["unknown_target"] += 1
            return
        self._placer.handle_end(packet.caller_flow, state.target, now_s)
        self._out.send_to_target(state.target, packet.raw)

    def _recover(self, packet: packets.Packet, flow: bytes, now_s: float) -> None:
        """Recovers the target of a flow that this home has no record of."""
        if self._adopt_if_known(packet, flow, now_s):
            return
        if packet.flags & packets.RST:
            self._unanswered.discard(flow)
            if self._cancel_opening(packet, now_s):
                return
        self._counts.events["flows_sought"] += 1
        self._query_siblings(
            packet, flow, geneve.Steering(step=geneve.Step.SEEK, hop_count=0), now_s
        )

    def _cancel_opening(self, packet: packets.Packet, now_s: float) -> bool:
        """Tells the placer that the caller of an unanswered opening has reset it.

        Returns:
            False if the reset cannot belong to an unanswered opening.
        """
        rule = self._book.find_for_caller(packet)
        if not rule or packet.flags & packets.ACK:
            return False
        placer_id = self._members.placer_id(rule.service.encode())
        if placer_id == self._own_id:
            self._placer.cancel_opening(packet, now_s)
            return True
        steering = geneve.Steering(
            step=geneve.Step.CALLER_VIA_PLACER, hop_count=1, origin_id=self._own_id
        )
        self._out.send_to_sibling(placer_id, packet.raw, steering)
        return True

    def _known_target(
        self, packet: packets.Packet, flow: bytes, now_s: float
    ) -> targets.Target | None:
        """Looks the flow's target up in the records, placements and witnesses of this VM."""
        record = self._records.get(flow)
        if record is not None:
            return None if record.is_closed else record.target
        placed = self._placer.get(flow)
        if placed is not None and placed.is_answered:
            return placed.target
        witness = self._witnesses.get(flow, now_s)
        if witness and witness.matches(packet):
            return witness.target
        return None

    def _adopt_if_known(self, packet: packets.Packet, flow: bytes, now_s: float) -> bool:
        target = self._known_target(packet, flow, now_s)
        if target is None:
            return False
        self._adopt(packet, flow, target, (), now_s)
        return True

    def _adopt(
        self,
        packet: packets.Packet,
        flow: bytes,
        target: targets.Target,
        incarnation_ids: tuple[int, ...],
        now_s: float,
    ) -> None:
        """Creates a record for a flow whose target was recovered."""
        known = self._records.get(flow)
        is_same = known is None or known.is_closed or known.target.tag == target.tag
        if not self._checks.holds(
            is_same, "the target of a flow never changes after payload was forwarded", flow
        ):
            return
        self._counts.events["flows_adopted"] += 1
        record = flows.Flow(
            key=flow,
            target=target,
            stage=flows.Stage.ESTABLISHED,
            opened_s=now_s,
            seen_s=now_s,
            payload_forwarded=True,
            is_recovered=True,
            witness_incarnation_ids=incarnation_ids,
            caller_acknowledgment=packet.acknowledgment,
        )
        self._records.add(record)
        self._forward(packet, record, now_s)

    def _query_siblings(
        self, packet: packets.Packet, flow: bytes, steering: geneve.Steering, now_s: float
    ) -> None:
        """Forwards a packet to the next sibling to ask for its flow, or back to its home."""
        origin_id = steering.origin_id or self._own_id
        visited = (*steering.visited_ids, self._own_id)
        rule = self._book.find_for_caller(packet)
        service_key = rule.service.encode() if rule else b""
        next_id = None
        if len(visited) < geneve.VISITED_LIMIT:
            asked = {*visited, origin_id}
            next_id = self._members.next_sibling_to_query(flow, service_key, asked)
        step = geneve.Step.SEEK if next_id is not None else geneve.Step.UNKNOWN
        onward = geneve.Steering(
            step=step,
            hop_count=steering.hop_count + 1,
            origin_id=origin_id,
            visited_ids=visited,
        )
        if next_id is not None:
            self._out.send_to_sibling(next_id, packet.raw, onward)
        elif origin_id == self._own_id:
            self.handle_not_found(packet, onward, now_s)
        else:
            self._out.send_to_sibling(origin_id, packet.raw, onward)

    def handle_lookup(
        self, packet: packets.Packet, steering: geneve.Steering, now_s: float
    ) -> None:
        """Handles the query of a home that looks for a flow's target.

        Args:
            packet: The flow's packet.
            steering: The steering option, with the home and the siblings asked so far.
            now_s: Current time.
        """
        flow = packet.caller_flow
        target = self._known_target(packet, flow, now_s)
        if target is None:
            self._query_siblings(packet, flow, steering, now_s)
            return
        self._demote_to_witness(packet, flow, target, now_s)
        if steering.origin_id not in self._members.reachable_ids:
            self._out.send_to_target(target, packet.raw)
            return
        found = geneve.Steering(
            step=geneve.Step.FOUND,
            hop_count=steering.hop_count + 1,
            origin_id=steering.origin_id,
            target_tag=target.tag,
        )
        self._out.send_to_sibling(steering.origin_id, packet.raw, found)

    def _demote_to_witness(
        self, packet: packets.Packet, flow: bytes, target: targets.Target, now_s: float
    ) -> None:
        """Replaces the record by a witness, since the asking VM becomes the flow's home."""
        self._copy_sender.discard(flow)
        if self._records.get(flow) is not None:
            self._records.discard(flow)
            self._witnesses.put(flow, target, packet.acknowledgment, now_s)

    def handle_found(self, packet: packets.Packet, steering: geneve.Steering, now_s: float) -> None:
        """Adopts a flow whose target a sibling knew.

        Args:
            packet: The flow's packet.
            steering: The steering option that the sibling set.
            now_s: Current time.
        """
        flow = packet.caller_flow
        record = self._records.get(flow)
        if record is not None:
            self._forward(packet, record, now_s)
            return
        state = self._table.states.get(steering.target_tag)
        if state is None:
            self._counts.drops["unknown_target"] += 1
            return
        incarnation_id = self._members.incarnation_id_of(steering.sender_id)
        self._adopt(packet, flow, state.target, (incarnation_id,), now_s)

    def handle_not_found(
        self, packet: packets.Packet, steering: geneve.Steering, now_s: float
    ) -> None:
        """Handles a packet whose flow none of the queried siblings knows.

        A UDP packet goes to the placer as an opening. A TCP packet goes to the first target in
        rendezvous order, its base, but only if every member was reached and asked.

        Args:
            packet: The flow's packet.
            steering: The steering option of the last sibling, with all that were asked.
            now_s: Current time.
        """
        flow = packet.caller_flow
        record = self._records.get(flow)
        if record is not None:
            self._forward(packet, record, now_s)
            return
        if packet.protocol == packets.UDP:
            self._send_to_placer(packet, flow, False, now_s)
            return
        if packet.flags & packets.RST:
            self._counts.drops["unknown_flow"] += 1
            return
        missing = set(self._members.reachable_ids) - set(steering.visited_ids)
        if missing or self._members.unreachable_ids():
            self._counts.drops["sibling_silent"] += 1
            return
        service = self._book.agreed_service(packet)
        target = service and self._table.base_target(flow, service, now_s)
        if not target:
            self._counts.drops[target.reason] += 1
            return
        self._counts.events["flows_on_base"] += 1
        self._adopt(packet, flow, target, (), now_s)
