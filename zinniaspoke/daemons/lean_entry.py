"""The entry VM's program for small machines: a packet socket, links to control VMs, steering."""

import asyncio
import json
import random
import socket

import attrs

from zinniaspoke import (
    admission,
    coldshares,
    counters,
    errors,
    events,
    evidence,
    exchange,
    feed,
    lean_settings,
    location,
    observer,
    pacing,
    packetform,
    ports,
    roster,
    rules,
    siblings,
    steering,
    subscription,
    where,
)
from zinniaspoke.adapters import exposition, links, page
from zinniaspoke.daemons import lean

TICK_S = 0.1
# Datagrams read at one wake-up; more would hold up the links.
BATCH_COUNT = 64
DATAGRAM_BYTES = 2048
RECEIVE_BUFFER_BYTES = 1024 * 1024
# The fabric asks twice a second and takes a VM out after two misses; packets come until then.
LEAVE_LEAST_S = 1.6
LEAVE_QUIET_S = 0.5
# How often a VM that has to stop looks for the first states of its siblings.
STATES_POLL_S = 0.01
# Share of the time that a planned stop is given; the rest is for a slow processor.
STOP_SHARE = 0.8
# Beside the counters, on the metrics address.
WHERE_PATH = "/where"
# Reasons for which a caller is told that its opening is refused.
REFUSALS = (*steering.REFUSALS, admission.REFUSED_NO_ROOM)


class LeanEntry(links.Owner, lean.Program):
    """Joins steering and subscription with sockets.

    Attributes:
        view: Rules and targets.
        steering: Decides where packets go.
        task: Runs as long as the program can go on.
    """

    def __init__(
        self, *, config: lean_settings.Entry, codec: packetform.PacketCodec, output: ports.LogPort
    ) -> None:
        """Prepares the program; opens nothing.

        Args:
            config: The settings.
            codec: The form of packets.
            output: Where events go.

        Raises:
            errors.SettingsError: Flows cannot be found in the way that the settings name.
        """
        self.config = config
        self._codec = codec
        self._output = output
        rng = random.Random()
        counts = counters.Counters()
        self._shared = (
            exchange.Exchange(name=config.name, zone=config.zone, counts=counts)
            if config.shared_evidence
            else None
        )
        self.view = subscription.Subscription(
            seeds=config.seeds,
            contact_s=config.contact_s,
            retain_s=config.flow_life_s + roster.RETAIN_SLACK_S,
            rng=rng,
            now_s=lean.now_s(),
            shared=self._shared,
        )
        self._holder = (
            coldshares.Holder(
                view=self.view,
                incarnation=rng.getrandbits(32),
                announcement_interval_s=config.announcement_interval_s,
                counts=counts,
            )
            if config.cold_overage is not None
            else None
        )
        self.steering = location.create(
            config.flow_location,
            codec.PACKET_FEATURES,
            view=self.view,
            rng=rng,
            own_zone=config.zone,
            hedge_share=config.hedge_share,
            zone_preference=config.zone_preference,
            counts=counts,
            **({} if self._holder is None else {"holder": self._holder}),
            **({} if self._shared is None else {"shared": self._shared}),
        )
        self._pacer = (
            pacing.Pacer(bytes_per_s=config.link_bytes_per_s, counts=self.steering.counters)
            if config.link_bytes_per_s
            else None
        )
        self._admission = (
            admission.Admission(pacer=self._pacer, counts=self.steering.counters)
            if self._pacer is not None
            else None
        )
        self._pacer_timer: asyncio.TimerHandle | None = None
        self._hedge_timer: asyncio.TimerHandle | None = None
        # Packets that the pacer had dropped when that was last logged.
        self._link_drops = 0
        self._diallers: dict[str, links.Dialler] = {}
        self._state = siblings.State.STARTING
        self._packet_s = 0.0
        self._servers: list[asyncio.AbstractServer] = []
        self.task: asyncio.Task[None] | None = None

    @property
    def counters(self) -> counters.Counters:
        """Counts of this process."""
        return self.steering.counters

    async def start(self, handler: page.Handler) -> None:
        """Opens the sockets and starts to follow control VMs.

        Args:
            handler: Answers whether this VM is ready.

        Raises:
            errors.Error: A port cannot be opened.
        """
        loop = asyncio.get_running_loop()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._socket.setblocking(False)
        self._socket.bind(self.config.packets)
        self._servers = [await page.listen(handler, *self.config.ready)]
        self._servers += await lean.serve_metrics(
            self.config, self.metrics, self._output, {WHERE_PATH: self.where}
        )
        self._follow()
        loop.add_reader(self._socket.fileno(), self._read_packets)
        self.task = loop.create_task(self._tick_forever())
        self._output.write(events.PROCESS_STARTED, "start", self.config.name, self.config.host)

    def reload(self, config: lean_settings.Entry) -> None:
        """Takes changed settings.

        Args:
            config: The new settings.
        """
        self.config = config
        self.view.set_seeds(config.seeds)
        self._output.write(
            events.SETTINGS_CHANGED, "reload", config.name, f"seeds {','.join(config.seeds)}"
        )

    # Packets

    def _read_packets(self) -> None:
        now_s = lean.now_s()
        self.view.detect_suspension(now_s)
        self._packet_s = now_s
        receive = self._socket.recv
        for _ in range(BATCH_COUNT):
            try:
                data = receive(DATAGRAM_BYTES)
            except BlockingIOError:
                break
            except OSError as error:
                self._drop(f"receive_{error.errno}")
                break
            self._handle(data, now_s)
        self._release(now_s)
        self._schedule_pacer(now_s)
        self._schedule_hedges(now_s)

    def _handle(self, data: bytes, now_s: float) -> None:
        packet = self._codec.decode(data)
        if isinstance(packet, errors.Nothing):
            self._drop(packet.reason)
            return
        rule = self._rule_of(packet)
        if rule is not None and rule.is_bulk and not self._is_admitted(packet, rule, now_s):
            return
        self._steer(packet, rule, now_s)

    def _rule_of(self, packet: steering.Packet) -> rules.Rule | None:
        """Returns the rule of a packet that is paced, if there is one."""
        if self._pacer is None:
            return None
        found = self.steering.rule_of(packet)
        return None if isinstance(found, errors.Nothing) else found

    def _is_admitted(self, packet: steering.Packet, rule: rules.Rule, now_s: float) -> bool:
        if packet.kind is not steering.Kind.OPENING:
            # Ended, or open by a copy that another VM has forwarded.
            self._admission.cancel(packet.flow)
            return True
        if not self.view.is_fresh(now_s):
            # Left to steering, which refuses nothing then.
            return True
        reason = self._admission.consider(packet, rule, now_s)
        if reason is not None:
            self._turn_away(packet, reason, now_s)
        return reason is None

    def _steer(self, packet: steering.Packet, rule: rules.Rule | None, now_s: float) -> None:
        found = self.steering.steer(packet, now_s)
        if isinstance(found, errors.Nothing):
            self._turn_away(packet, found, now_s)
            return
        self._send_packet(packet, found, rule, now_s)
        if packet.kind is steering.Kind.OPENING:
            self._tell_opened(packet, "steer")

    def _tell_opened(self, packet: steering.Packet, step: str) -> None:
        detail = f"{self.steering.explain(packet.flow)}, rules {self.view.rules.number}"
        peer = self._codec.describe(packet.datagram)
        self._output.write(events.FLOW_OPENED, step, peer, detail)

    def _release(self, now_s: float) -> None:
        """Sends on openings that waited for room or a place, and gives up those in vain."""
        if self._admission and self.view.is_fresh(now_s):
            admitted, refused = self._admission.take_released(now_s)
            for packet in admitted:
                self._steer(packet, self._rule_of(packet), now_s)
            for packet in refused:
                self._turn_away(packet, admission.REFUSED_NO_ROOM, now_s)
        for packet, target in self.steering.take_released(now_s):
            self._send_packet(packet, target, self._rule_of(packet), now_s)
            self._tell_opened(packet, "release")
        for packet, reason in self.steering.take_rejected():
            self._turn_away(packet, reason, now_s)

    def _turn_away(self, packet: steering.Packet, reason: errors.Nothing, now_s: float) -> None:
        data = packet.datagram
        detail = (
            f"{reason.reason}, rules {self.view.rules.number}, {len(self.view.targets)} targets"
        )
        if reason is steering.WAITING or reason is admission.HELD:
            self.counters.events[reason.reason] += 1
            self._output.write(events.FLOW_WAITS, "steer", self._codec.describe(data), detail)
            return
        self._drop(reason.reason)
        if reason in REFUSALS or reason is steering.RESET_UNRESPONSIVE:
            host, answer = self._codec.reset(packet)
            endpoint = (host, self.config.packets[1])
            self._submit(
                pacing.Datagram(data=answer, endpoint=endpoint, flow=packet.flow, is_opening=True),
                now_s,
            )
            is_refusal = reason in REFUSALS
            event = events.FLOW_REFUSED if is_refusal else events.FLOW_RESET
            if not is_refusal:
                detail = f"{detail}, {self.steering.explain(packet.flow)}"
            self._output.write(event, "steer", self._codec.describe(data), detail)
        else:
            self._output.write(events.FLOW_DROPPED, "steer", self._codec.describe(data), detail)

    def _drop(self, reason: str) -> None:
        self.counters.drops[reason] += 1

    # Hedged openings

    def _schedule_hedges(self, now_s: float) -> None:
        due_s = self.steering.next_hedge_s
        if due_s is not None and self._hedge_timer is None:
            loop = asyncio.get_running_loop()
            self._hedge_timer = loop.call_later(max(0.0, due_s - now_s), self._send_hedges)

    def _send_hedges(self) -> None:
        self._hedge_timer = None
        now_s = lean.now_s()
        self.view.detect_suspension(now_s)
        for packet, target in self.steering.take_hedges(now_s):
            self._send_packet(packet, target, self._rule_of(packet), now_s)
            peer = self._codec.describe(packet.datagram)
            detail = f"also to {target.identity}, {self.steering.explain(packet.flow)}"
            self._output.write(events.FLOW_HEDGED, "hedge", peer, detail)
        self._schedule_pacer(now_s)
        self._schedule_hedges(now_s)

    # Sending at the link's pace

    def _send_packet(
        self,
        packet: steering.Packet,
        target: roster.Target,
        rule: rules.Rule | None,
        now_s: float,
    ) -> None:
        if packet.kind is steering.Kind.RESET and self._pacer is not None:
            self._pacer.cancel(packet.flow)
        self._submit(
            pacing.Datagram(
                data=self._codec.to_target(packet.datagram, target, packet.kind),
                endpoint=target.address,
                flow=packet.flow,
                sequence=packet.sequence if packet.has_payload else None,
                is_opening=packet.kind is steering.Kind.OPENING,
                deadline_s=self._deadline_s(packet, target, now_s),
                rule=rule,
                ends_flow=packet.kind is steering.Kind.END,
            ),
            now_s,
        )

    def _deadline_s(
        self, packet: steering.Packet, target: roster.Target, now_s: float
    ) -> float | None:
        """Returns until when a packet may be sent: openings to cold targets count by their time."""
        is_opening = packet.kind is steering.Kind.OPENING
        if self._holder is None or not is_opening or not self._holder.is_limited(target, now_s):
            return None
        return now_s + coldshares.SEND_LIMIT_S

    def _submit(self, datagram: pacing.Datagram, now_s: float) -> None:
        if self._pacer is None or self._pacer.submit(datagram, now_s):
            self._send(datagram)

    def _send(self, datagram: pacing.Datagram) -> None:
        # This VM may have stood still since the decision.
        if datagram.deadline_s is not None and lean.now_s() > datagram.deadline_s:
            self._drop("cold_opening_late")
            return
        try:
            self._socket.sendto(datagram.data, datagram.endpoint)
        except OSError as error:
            self._drop(f"send_{error.errno}")

    def _schedule_pacer(self, now_s: float) -> None:
        if self._pacer:
            self.steering.record_link_busy(now_s)
            if self._shared is not None and self._pacer.delay_s > observer.LINK_DELAY_LIMIT_S:
                self._shared.observer.record_interruption(now_s)
        if (self._pacer or self._admission) and self._pacer_timer is None:
            delay_s = max(0.0, self._pacer.next_send_s - now_s)
            if not self._pacer:
                delay_s = max(delay_s, admission.IDLE_LOOK_INTERVAL_S)
            self._pacer_timer = asyncio.get_running_loop().call_later(delay_s, self._send_due)

    def _send_due(self) -> None:
        self._pacer_timer = None
        now_s = lean.now_s()
        self.view.detect_suspension(now_s)
        for datagram in self._pacer.take_due(now_s):
            self._send(datagram)
        if self._admission:
            self._release(now_s)
        self._schedule_pacer(now_s)

    def metrics(self) -> bytes:
        """Returns what this process counted, as text."""
        gauges = {
            "rules_number": self.view.rules.number,
            "targets": len(self.view.targets),
            "flow_records": len(self.steering),
            "is_ready": float(self._is_ready),
            "places_revision": self.view.places_revision,
            "evacuated_zones": len(self.view.evacuated_zones),
        }
        if self._holder is not None:
            gauges["cold_shares"] = self._holder.shares_in_use(lean.now_s())
        if self._pacer is not None:
            gauges["link_queued_bytes"] = self._pacer.queued_bytes
            gauges["link_queued_bulk_bytes"] = self._pacer.bulk_bytes
            gauges["link_held_openings"] = len(self._admission)
        if self._shared is not None:
            gauges["targets_under_verdict"] = len(self._shared)
            gauges["ejected_share"] = self._shared.ejected_share
        return exposition.render(self.counters, gauges)

    def where(self, request: page.Request) -> page.Response:
        """Answers where flows would go now; see ``where.Question``.

        Args:
            request: The operator's request; its body is the question.
        """
        try:
            question = where.Question.decode(request.body)
        except errors.SettingsError as error:
            return page.Response(status=400, body=json.dumps({"error": error.reason}).encode())
        now_s = lean.now_s()
        host, first_port = question.caller
        answers = [
            where.describe(
                self.steering, self._codec.opening((host, port), question.service), now_s
            )
            for port in range(first_port, first_port + question.count)
        ]
        body = {"vm": self.config.name, "flows": [attrs.asdict(answer) for answer in answers]}
        return page.Response(status=200, body=json.dumps(body).encode())

    # Control VMs

    def _follow(self) -> None:
        wanted = self.view.select_control_vms(lean.now_s())
        for name in wanted:
            if name not in self._diallers:
                self._diallers[name] = links.Dialler(
                    owner=self, peer=name, clock=lean.now_s, log=self._output
                )
        for name in self._diallers.keys() - set(wanted):
            self._diallers.pop(name).close()

    def link_opened(self, link: links.Link) -> None:
        """See ``links.Owner.link_opened``."""
        hello = {
            "entry": self.config.name,
            "zone": self.config.zone,
            "number": self.view.rules.number,
            "places_revision": self.view.places_revision,
            "state": int(self._state),
        }
        link.send(links.Kind.HELLO, json.dumps(hello).encode())

    def link_closed(self, link: links.Link) -> None:
        """See ``links.Owner.link_closed``."""
        self.view.connection_lost(link.peer)

    def frame_received(self, link: links.Link, kind: links.Kind, payload: bytes) -> None:
        """See ``links.Owner.frame_received``."""
        now_s = lean.now_s()
        self.view.detect_suspension(now_s)
        if kind is links.Kind.SHARE_GRANT and self._holder is not None:
            self._take_grant(link, payload, now_s)
        if kind is not links.Kind.UPDATE:
            return
        try:
            update = feed.decode(payload, link.peer, now_s)
            self.view.apply_update(link.peer, update, now_s)
            self._check_places(link, update)
        except errors.RuleError as error:
            self._output.write(events.RULES_REFUSED, error.step, link.peer, error.reason)
        except errors.DatagramError as error:
            self._output.write(events.DATAGRAM_REFUSED, error.step, link.peer, error.reason)
        self._tell()

    def _check_places(self, link: links.Link, update: feed.Update) -> None:
        """Connects anew if the control VM takes evacuated zones for known that are not.

        The update that named them could not be read; after a new greeting they are sent again.
        """
        if update.places_revision > self.view.places_revision:
            self.counters.events["places_missed"] += 1
            link.abort()

    def _take_grant(self, link: links.Link, payload: bytes, now_s: float) -> None:
        try:
            self._holder.take_grant(payload, now_s)
        except errors.DatagramError as error:
            self._output.write(events.DATAGRAM_REFUSED, error.step, link.peer, error.reason)
        self._release(now_s)
        self._schedule_pacer(now_s)

    def _ask_for_shares(self, now_s: float) -> None:
        """Asks all control VMs that this VM follows; only the leader answers."""
        request = None if self._holder is None else self._holder.take_request(now_s)
        if request is not None:
            self.counters.events["share_requests"] += 1
            for dialler in self._diallers.values():
                dialler.link.send(links.Kind.SHARE_REQUEST, request)

    # Time

    @property
    def _is_ready(self) -> bool:
        return self._state in (siblings.State.READY, siblings.State.STOPPING)

    @property
    def is_ready(self) -> bool:
        """Whether the fabric may send packets here."""
        if self._state is siblings.State.STARTING and self.view.is_ready(lean.now_s()):
            self._enter(siblings.State.READY)
        return self._is_ready

    def _enter(self, state: siblings.State) -> None:
        """Changes what this VM is to the fabric; its siblings hear of it."""
        was_ready = self._is_ready
        self._state = state
        for dialler in self._diallers.values():
            dialler.link.send(links.Kind.STATE, str(int(state)).encode())
        if self._is_ready != was_ready:
            event = events.READY if self._is_ready else events.NOT_READY
            detail = f"rules {self.view.rules.number}, {len(self.view.targets)} targets"
            self._output.write(event, "answer the fabric", self.config.name, detail)

    async def _tick_forever(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            now_s = lean.now_s()
            self.view.tick(now_s)
            self.steering.tick(now_s)
            self._release(now_s)
            self._schedule_pacer(now_s)
            self._ask_for_shares(now_s)
            self._follow()
            self._report(now_s)
            self._tell()

    def _report(self, now_s: float) -> None:
        """Sends what this VM has seen of targets to some of the control VMs that it follows."""
        if self._shared is None:
            return
        open_links = [d.link for d in self._diallers.values() if d.link.is_open]
        report = self._shared.take_report(now_s) if open_links else None
        if report is not None:
            for link in open_links[: evidence.REPORT_COPY_COUNT]:
                link.send(links.Kind.EVIDENCE, report.encode(now_s))

    def _tell(self) -> None:
        for event, peer, detail in self.view.pending_events:
            self._output.write(event, "follow", peer, detail)
        self.view.pending_events.clear()
        for target in self.steering.take_suspected():
            detail = f"{target.service} at {target.address[0]}, openings go unanswered"
            self._output.write(events.TARGET_SUSPECTED, "open flow", target.identity, detail)
        for zone, is_suspected in self.steering.take_zone_changes():
            event = events.ZONE_SUSPECTED if is_suspected else events.ZONE_ANSWERS
            self._output.write(event, "open flow", zone, "as seen from this VM")
        self._tell_link()

    def _tell_link(self) -> None:
        has_link = self._admission is not None
        summary = self._admission.take_summary(lean.now_s()) if has_link else None
        if summary is not None:
            self._output.write(events.LINK_SHARED, "pace", self.config.name, summary)
        drops = sum(self.counters.drops[reason] for reason in pacing.DROP_REASONS)
        if drops > self._link_drops:
            detail = f"{drops - self._link_drops} packets, {self._pacer.queued_bytes} bytes wait"
            self._output.write(events.LINK_OVERLOADED, "pace", self.config.name, detail)
            self._link_drops = drops

    async def leave(self) -> None:
        """Asks for no more packets, carries what still comes, then ends."""
        started_s = lean.now_s()
        least_s = min(LEAVE_LEAST_S, self.config.stop_limit_s / 2)
        most_s = self.config.stop_limit_s * STOP_SHARE
        if self._is_ready:
            await self._wait_for_turn(started_s, started_s + most_s - least_s)
        self._enter(siblings.State.LEFT)
        left_s = lean.now_s()
        while (now_s := lean.now_s()) - started_s < most_s:
            has_waiting = self._pacer or self._admission or self.steering.queued_count
            is_quiet = now_s - self._packet_s > LEAVE_QUIET_S and not has_waiting
            if now_s - left_s >= least_s and is_quiet:
                break
            await asyncio.sleep(TICK_S)
        self.task.cancel()
        self._output.write(events.PROCESS_STOPPED, "stop", self.config.name, "")

    async def _wait_for_turn(self, started_s: float, until_s: float) -> None:
        """Waits while too few of the zone's entry VMs would stay in rotation."""
        self._enter(siblings.State.STOPPING)
        known = {}
        while (now_s := lean.now_s()) < until_s:
            reported = self.view.entry_vms(now_s)
            known = reported or {}
            is_known = reported is not None or now_s - started_s > siblings.STATES_TIMEOUT_S
            if is_known and siblings.may_leave(self.config.name, started_s, known, now_s):
                return
            await asyncio.sleep(TICK_S if is_known else STATES_POLL_S)
        detail = ", ".join(f"{s.name} {s.state.name.lower()}" for s in known.values())
        self._output.write(events.STOP_OUT_OF_TURN, "stop", self.config.name, detail)
