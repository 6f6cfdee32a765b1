"""The entry VM's core: takes datagrams, announcements and time, returns actions."""

import random
from collections.abc import Callable

import attrs

from zinniaspoke import (
    actions,
    caller_path,
    copies,
    core_state,
    counters,
    datagrams,
    errors,
    events,
    flows,
    geneve,
    gossip,
    invariants,
    levels,
    membership,
    openings,
    outbox,
    packets,
    placement,
    placer,
    return_path,
    rulebook,
    sweep,
    targets,
)
from zinniaspoke.proto import peer_pb2

WITNESS_SLICE_COUNT = 500
LEAVE_QUIET_S = 1.0
LEAVE_LIMIT_S = 300.0

_STEPS: dict[geneve.Step, Callable] = {}


def _on(step: geneve.Step) -> Callable:
    """Registers the handler of one steering step."""

    def register(method: Callable) -> Callable:
        _STEPS[step] = method
        return method

    return register


@attrs.frozen(kw_only=True)
class Config:
    """What an entry VM's core is told at its start.

    Attributes:
        own: This VM as a member.
        seeds: Control endpoints of entry VMs to join.
        fabric: Where packets for callers go.
        fabric_hosts: Outer sources from which callers' packets come.
        keys: Secrets for datagrams, the signing one first.
        flow_limit: Most records held.
        witness_limit: Most witnesses held.
        policy: Name of the placement policy.
        is_strict: Whether a broken promise raises.
        wall_offset_s: Seconds since 1970 less the core's clock.
    """

    own: membership.Member
    seeds: tuple[tuple[str, int], ...]
    fabric: tuple[str, int]
    fabric_hosts: frozenset[str]
    keys: tuple[bytes, ...]
    flow_limit: int = 300_000
    witness_limit: int = 300_000
    policy: str = placement.DEFAULT_POLICY
    is_strict: bool = False
    wall_offset_s: float = 0.0


class Entry:
    """The decisions of one entry VM, without sockets or clocks."""

    def __init__(self, *, config: Config, rng: random.Random, now_s: float) -> None:
        """Composes the core.

        Args:
            config: Identity, limits and secrets.
            rng: Seeded random source.
            now_s: Current time.
        """
        self.config = config
        self._authenticator = datagrams.Authenticator(
            sender_id=config.own.id, incarnation=config.own.incarnation, keys=config.keys
        )
        policy = placement.create(config.policy, rng)
        state = self._make_state(config, policy.is_local, now_s)
        self.counts = state.counts
        self.members = state.members
        self.table = state.target_table
        self.book = state.rule_book
        self.records = state.flow_table
        self.witnesses = state.witnesses
        self.out = state.out
        self.recorder = state.level_recorder
        self._unanswered = state.unanswered
        self.copy_sender = copies.CopySender(state=state, now_s=now_s)
        self.placer = placer.Placer(
            state=state, copy_sender=self.copy_sender, policy=policy, now_s=now_s
        )
        self.gossip = gossip.Gossip(state=state, placer=self.placer, seeds=config.seeds)
        self.caller_path = caller_path.CallerPath(
            state=state, placer=self.placer, copy_sender=self.copy_sender
        )
        self.return_path = return_path.ReturnPath(state=state, placer=self.placer)
        self._sweeper = sweep.Sweeper(
            state=state,
            copy_sender=self.copy_sender,
            caller_path=self.caller_path,
            set_idle_counts=self.gossip.set_idle_counts,
        )
        self._placed_services: frozenset[str] = frozenset()
        self._seen_version = -1
        self._seen_reachable: frozenset[int] = frozenset()
        self._leave_started_s: float | None = None
        self._packet_s = now_s

    def _make_state(
        self, config: Config, places_locally: bool, now_s: float
    ) -> core_state.CoreState:
        counts = counters.Counters()
        members = membership.Membership(own=config.own, now_s=now_s)
        members.places_locally = places_locally
        table = targets.TargetTable()
        out = outbox.Outbox(
            members=members,
            target_table=table,
            authenticator=self._authenticator,
            fabric=config.fabric,
            counts=counts,
        )
        return core_state.CoreState(
            members=members,
            target_table=table,
            rule_book=rulebook.RuleBook(),
            flow_table=flows.FlowTable(limit=config.flow_limit),
            witnesses=flows.WitnessTable(limit=config.witness_limit),
            unanswered=openings.UnansweredOpenings(),
            out=out,
            checks=invariants.Invariants(out=out, is_strict=config.is_strict),
            counts=counts,
            level_recorder=levels.LevelRecorder(wall_offset_s=config.wall_offset_s),
        )

    def handle_packet(self, data: bytes, source_host: str, now_s: float) -> list[actions.Action]:
        """Steers a datagram from the packet socket.

        Args:
            data: The Geneve datagram.
            source_host: Its outer source address.
            now_s: Current time.

        Returns:
            What to do.
        """
        self.out.start_call(now_s)
        try:
            frame = geneve.decapsulate(data, self._authenticator.keys)
            packet = packets.decode(frame.inner)
        except errors.PacketError as error:
            self.counts.drops[error.reason] += 1
            return self.out.take_actions()
        if frame.steering is not None:
            _STEPS[frame.steering.step](self, packet, frame.steering, now_s)
        elif source_host in self.config.fabric_hosts:
            self._packet_s = now_s
            self.caller_path.handle_fabric_packet(packet, now_s)
        else:
            self._packet_s = now_s
            self.return_path.handle_target_packet(packet, source_host, now_s)
        return self.out.take_actions()

    @_on(geneve.Step.TO_HOME)
    def _to_home(self, packet: packets.Packet, steering: geneve.Steering, now_s: float) -> None:
        self.caller_path.to_home(packet, steering, now_s)

    @_on(geneve.Step.PLACE)
    def _place(self, packet: packets.Packet, steering: geneve.Steering, now_s: float) -> None:
        self.caller_path.place(packet, steering, now_s)

    @_on(geneve.Step.CALLER_VIA_PLACER)
    def _show_caller(self, packet: packets.Packet, steering: geneve.Steering, now_s: float) -> None:
        self.caller_path.show_caller(packet, steering, now_s)

    @_on(geneve.Step.SEEK)
    def _seek(self, packet: packets.Packet, steering: geneve.Steering, now_s: float) -> None:
        self.caller_path.seek(packet, steering, now_s)

    @_on(geneve.Step.FOUND)
    def _found(self, packet: packets.Packet, steering: geneve.Steering, now_s: float) -> None:
        self.caller_path.found(packet, steering, now_s)

    @_on(geneve.Step.UNKNOWN)
    def _unknown(self, packet: packets.Packet, steering: geneve.Steering, now_s: float) -> None:
        self.caller_path.unknown(packet, steering, now_s)

    @_on(geneve.Step.RETURN)
    def _return(self, packet: packets.Packet, steering: geneve.Steering, now_s: float) -> None:
        self.return_path.at_home(packet, steering, now_s)

    @_on(geneve.Step.RETURN_VIA_PLACER)
    def _show_return(self, packet: packets.Packet, steering: geneve.Steering, now_s: float) -> None:
        self.return_path.at_placer(packet, steering, now_s)

    @_on(geneve.Step.REJECTED)
    def _rejected(self, packet: packets.Packet, steering: geneve.Steering, now_s: float) -> None:
        self.return_path.rejected(packet, steering, now_s)

    def handle_control(self, data: bytes, peer: str, now_s: float) -> list[actions.Action]:
        """Takes a datagram from the control socket.

        Args:
            data: The signed datagram.
            peer: Where it came from, for the log.
            now_s: Current time.

        Returns:
            What to do.
        """
        self.out.start_call(now_s)
        try:
            datagram = self._authenticator.verify(data, peer)
        except errors.DatagramError as error:
            self.counts.drops[error.reason] += 1
            if error.reason not in ("own_datagram", "replay"):
                self.out.log(events.DATAGRAM_REFUSED, peer, error.reason)
            return self.out.take_actions()
        if not self.gossip.handle(datagram, now_s):
            self._handle_transfer(datagram, now_s)
        self._follow_view(now_s)
        return self.out.take_actions()

    def _handle_transfer(self, datagram: peer_pb2.Datagram, now_s: float) -> None:
        field = datagram.WhichOneof("body")
        if field == "copy_batch":
            self._take_copies(datagram.sender_id, datagram.copy_batch, now_s)
        elif field == "copy_ack":
            self.copy_sender.acknowledge(datagram.sender_id, datagram.copy_ack.batch_id)
        elif field == "placer_counts":
            self._take_counts(datagram.placer_counts)

    def _take_copies(self, sender_id: int, batch: peer_pb2.CopyBatch, now_s: float) -> None:
        for copy in batch.copies:
            state = self.table.states.get(copy.target_tag)
            if state is None:
                self.counts.drops["copy_of_unknown_target"] += 1
                return
            self.witnesses.put(copy.flow, state.target, copy.sequence, now_s)
        ack = peer_pb2.CopyAck(batch_id=batch.batch_id)
        self.out.send_control(sender_id, peer_pb2.Datagram(copy_ack=ack))

    def _take_counts(self, body: peer_pb2.PlacerCounts) -> None:
        for handed in body.loads:
            state = self.table.states.get(handed.target_tag)
            if state is None:
                continue
            load = self.placer.load_of(state.target)
            load.short_count = max(load.short_count, handed.short_count)
            load.long_count = max(load.long_count, handed.long_count)

    def handle_announcement(self, state: targets.TargetState, now_s: float) -> list[actions.Action]:
        """Takes a target's announcement.

        Args:
            state: The announced state.
            now_s: Current time.

        Returns:
            What to do.
        """
        self.gossip.handle_announcement(state, now_s)
        return self.out.take_actions()

    def set_operator_drain(
        self, tag: int, is_held: bool, at_ms: int, now_s: float
    ) -> list[actions.Action]:
        """Drains a target on an operator's word, or takes that back.

        Args:
            tag: The target's tag.
            is_held: Whether it gets no new work.
            at_ms: When the operator said so, in milliseconds since 1970.
            now_s: Current time.

        Returns:
            What to do.
        """
        self.gossip.set_operator_drain(tag, is_held, at_ms, now_s)
        return self.out.take_actions()

    def install_rules(self, number: int, content: bytes) -> list[actions.Action]:
        """Puts a committed rule file in force.

        Args:
            number: The file's number.
            content: The file's bytes.

        Returns:
            What to do.
        """
        try:
            is_newer = self.book.install(number, content)
        except errors.RuleError as error:
            self.out.log(events.RULES_REFUSED, f"rule file {number}", error.reason)
            return self.out.take_actions()
        if is_newer:
            rule_count = len(self.book.current.rules)
            self.out.log(events.RULES_IN_FORCE, f"rule file {number}", f"{rule_count} rules")
        return self.out.take_actions()

    def tick(self, now_s: float) -> list[actions.Action]:
        """Does what is due; called every few hundredths of a second.

        Args:
            now_s: Current time.

        Returns:
            What to do.
        """
        self.out.start_call(now_s)
        self.members.tick(now_s)
        self._follow_view(now_s)
        self.gossip.tick(now_s)
        live_ids = frozenset((*self.members.reachable_ids, self.members.own.id))
        self.placer.tick(now_s, live_ids)
        self._sweeper.tick(now_s)
        self.recorder.tick(now_s)
        self._unanswered.expire(now_s)
        self.copy_sender.tick(now_s)
        self.witnesses.expire(now_s, WITNESS_SLICE_COUNT)
        for target in self.table.remove_expired(now_s):
            self.placer.forget_target(target)
            self.out.log(events.TARGET_FORGOTTEN, target.name, "lease lapsed long ago")
        return self.out.take_actions()

    def _follow_view(self, now_s: float) -> None:
        """Reacts to a change of membership: log it, take over or hand over placing."""
        if self.members.version == self._seen_version:
            return
        self._seen_version = self.members.version
        self._log_view()
        own_id = self.members.own.id
        services = self.book.current.services()
        placed = frozenset(s for s in services if self.members.placer_id(s.encode()) == own_id)
        live_ids = frozenset((*self.members.reachable_ids, own_id))
        self.placer.take_over(placed - self._placed_services, live_ids)
        for service in self._placed_services - placed:
            self._hand_counts(service)
        self._placed_services = placed
        self.caller_path.give_to_next_placer(live_ids, now_s)

    def _log_view(self) -> None:
        reachable = frozenset(self.members.reachable_ids)
        for member_id in reachable - self._seen_reachable:
            self.out.log(events.MEMBER_REACHED, self.members.members[member_id].name, "")
        for member_id in self._seen_reachable - reachable:
            member = self.members.members.get(member_id)
            self.out.log(events.MEMBER_LOST, member.name if member else str(member_id), "")
        self._seen_reachable = reachable

    def _hand_counts(self, service: str) -> None:
        """Passes a service's counts on to its new placer."""
        loads = [
            peer_pb2.Load(target_tag=tag, short_count=load.short_count, long_count=load.long_count)
            for tag, load in self.placer.loads.items()
            if load.target.service == service
        ]
        body = peer_pb2.PlacerCounts(service=service, loads=loads)
        placer_id = self.members.placer_id(service.encode())
        self.out.send_control(placer_id, peer_pb2.Datagram(placer_counts=body))

    def begin_leave(self, now_s: float) -> list[actions.Action]:
        """Starts a planned leave.

        Args:
            now_s: Current time.

        Returns:
            What to do.
        """
        if self._leave_started_s is None:
            self._leave_started_s = now_s
            self.members.own.state = membership.MemberState.LEAVING
            self.members.tick(now_s)
            self.out.log(events.LEAVE_STARTED, self.members.own.name, "")
            self._sweeper.restart(is_leaving=True)
        return self.tick(now_s)

    @property
    def is_leaving(self) -> bool:
        """Whether a planned leave has started."""
        return self._leave_started_s is not None

    def may_stop(self, now_s: float) -> bool:
        """Tells whether a planned leave is complete.

        Args:
            now_s: Current time.

        Returns:
            True once the others have seen the leave, every flow that needs a copy has one, no
            opening waits here, and the fabric has sent nothing for a while; or the limit passed.
        """
        if self._leave_started_s is None:
            return False
        if now_s - self._leave_started_s > LEAVE_LIMIT_S:
            return True
        others = [self.members.members[i] for i in self.members.reachable_ids]
        seen = all(member.acknowledges_leave for member in others)
        copied = self._sweeper.is_complete and self.copy_sender.urgent_count == 0
        is_quiet = now_s - self._packet_s > LEAVE_QUIET_S
        return seen and copied and is_quiet and self.placer.waiting_count == 0
