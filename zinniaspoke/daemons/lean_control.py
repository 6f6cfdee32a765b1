"""The control VM's program for small machines: links, an HTTP port, a disk and the coordinator."""

import asyncio
import json
import random

from zinniaspoke import (
    coldshares,
    consensus,
    control,
    coordinator,
    counters,
    errors,
    evacuations,
    events,
    evidence,
    feed,
    lean_settings,
    log,
    ports,
    roster,
    siblings,
    storage,
)
from zinniaspoke.adapters import exposition, links, page, replica_thread
from zinniaspoke.daemons import calls, lean
from zinniaspoke.proto import control_pb2

# A fifth of the leader's heartbeat interval is not needed: messages are sent as they arise.
TICK_S = 0.04
# A planned stop of a control VM takes this long at most.
STOP_LIMIT_S = 2.0
# A stop ends once no call was open or arrived for this long: a round trip between zones and more.
STOP_QUIET_S = 0.1
# Connections to control VMs that left the set are kept this long.
DIAL_KEEP_S = 10.0


class LeanControl(links.Owner, lean.Program):
    """Joins the coordinator with sockets and the disk.

    Attributes:
        config: The settings.
        counters: Counts of this process.
        calls: Calls of operators that are under way.
        task: Runs as long as the program can go on.
    """

    def __init__(self, *, config: lean_settings.Control, output: ports.LogPort) -> None:
        """Prepares the program; opens nothing.

        Args:
            config: The settings.
            output: Where events go.
        """
        self.config = config
        self._output = output
        self.counters = counters.Counters()
        self._subscribers: dict[links.Link, coordinator.Subscriber] = {}
        self._controls_in: dict[links.Link, str] = {}
        self._diallers: dict[str, links.Dialler] = {}
        self._used_s: dict[str, float] = {}
        self._replica = replica_thread.ReplicaThread(
            open_core=self._open_core, clock=lean.now_s, deliver=self._take_output
        )
        self.calls = calls.Calls(
            view=lambda: self.replica,
            enter=self._replica.enter,
            send=self._pass_on,
            counted=self.counters,
            now_s=lean.now_s(),
        )
        self._servers: list[asyncio.AbstractServer] = []
        self.task: asyncio.Task[None] | None = None
        self._gives_shares = False
        self._called_s = 0.0

    async def start(self, handler: page.Handler) -> None:
        """Reads back the state, opens the ports and takes part.

        Args:
            handler: Answers what targets and operators call.

        Raises:
            errors.Error: The data folder or a port cannot be opened.
        """
        config = self.config
        now_s = lean.now_s()
        self._coordinator = coordinator.Coordinator(
            name=config.peer_name,
            seeds=config.seeds,
            targets=roster.Roster(
                silent_after_s=roster.MISSED_ANNOUNCEMENTS * config.announcement_interval_s,
                retain_s=config.flow_life_s + roster.RETAIN_SLACK_S,
            ),
            announcement_interval_s=config.announcement_interval_s,
            now_s=now_s,
            counts=self.counters if config.shared_evidence else None,
        )
        self._granter = coldshares.Granter(
            targets=self._coordinator.targets,
            overage=config.cold_overage,
            slack=config.cold_slack,
        )
        self._servers = [
            await links.listen(self, config.host, config.peer_port, lean.now_s),
            await page.listen(handler, *config.calls),
            *await lean.serve_metrics(config, self.metrics, self._output),
        ]
        self._sync_diallers(now_s)
        self._replica.start()
        self.task = asyncio.get_running_loop().create_task(self._tick_forever())
        self._output.write(events.PROCESS_STARTED, "start", config.name, config.peer_name)

    def _open_core(self) -> control.Control:
        """Reads back the replica's state from the disk."""
        config = self.config
        return control.Control(
            name=config.peer_name,
            initial_voters=config.seeds,
            entries=log.Log(files=storage.DiskStorage(folder=config.data_folder)),
            rng=random.Random(),
            now_s=lean.now_s(),
            numbering=config.numbering,
            voter_count=config.voter_count,
            accepts_new_members=True,
            may_bootstrap=config.may_bootstrap,
        )

    def metrics(self) -> bytes:
        """Returns what this process counted, as text."""
        replica = self.replica
        gauges = {
            "rules_number": replica.rules.number,
            "targets": len(self._coordinator.targets),
            "followers": len(self._subscribers),
            "term": replica.term,
            "commit_index": replica.commit_index,
            "is_leader": float(replica.role is consensus.Role.LEADER),
            "is_voter": float(replica.is_voter),
            "places_revision": replica.places_revision,
            "evacuated_zones": len(replica.evacuated),
            "gives_shares": float(self._gives_shares),
        }
        if self._coordinator.ledger is not None:
            gauges["targets_under_verdict"] = len(self._coordinator.ledger.verdicts)
        return exposition.render(self.counters, gauges)

    @property
    def replica(self) -> control.View:
        """What this VM's replica last published."""
        return self._coordinator.replica

    def reload(self, config: lean_settings.Control) -> None:
        """Takes changed settings.

        Args:
            config: The new settings.
        """
        self.config = config
        self._coordinator.seeds = config.seeds
        self._replica.set_seeds(config.seeds)
        self._sync_diallers(lean.now_s())
        self._output.write(
            events.SETTINGS_CHANGED, "reload", config.name, f"seeds {','.join(config.seeds)}"
        )

    # Connections

    def _sync_diallers(self, now_s: float) -> None:
        wanted = set(self._coordinator.controls()) - {self.config.peer_name}
        for name in wanted:
            self._used_s[name] = now_s
            self._dial(name)
        for name, dialler in list(self._diallers.items()):
            if now_s - self._used_s[name] > DIAL_KEEP_S:
                dialler.close()
                del self._diallers[name]

    def _dial(self, name: str) -> links.Dialler:
        if name not in self._diallers:
            self._diallers[name] = links.Dialler(
                owner=self, peer=name, clock=lean.now_s, log=self._output
            )
        return self._diallers[name]

    def link_opened(self, link: links.Link) -> None:
        """See ``links.Owner.link_opened``."""
        if link.is_dialled:
            hello = {"control": self.config.peer_name}
            link.send(links.Kind.HELLO, json.dumps(hello).encode())
            self._send_table(link)

    def _send_table(self, link: links.Link) -> None:
        now_s = lean.now_s()
        table = self._coordinator.full_update(now_s)
        link.send(links.Kind.GOSSIP, feed.encode(table, now_s))

    def link_closed(self, link: links.Link) -> None:
        """See ``links.Owner.link_closed``."""
        self._controls_in.pop(link, None)
        subscriber = self._subscribers.pop(link, None)
        self._set_candidates()
        if subscriber is None or any(s.name == subscriber.name for s in self._subscribers.values()):
            return
        self._coordinator.record_subscriber_state(subscriber, siblings.State.LOST, lean.now_s())

    def frame_received(self, link: links.Link, kind: links.Kind, payload: bytes) -> None:
        """See ``links.Owner.frame_received``."""
        try:
            self._take_frame(link, kind, payload, lean.now_s())
        except (errors.DatagramError, ValueError) as error:
            self._output.write(events.DATAGRAM_REFUSED, kind.name, link.peer, str(error))
        self._flush()

    def _take_frame(self, link: links.Link, kind: links.Kind, payload: bytes, now_s: float) -> None:
        if kind is links.Kind.REPLICA:
            if not self._replica.receive(control_pb2.ReplicaMessage.FromString(payload)):
                self.counters.drops["replica_inbox_full"] += 1
        elif kind is links.Kind.GOSSIP:
            self._coordinator.receive_gossip(feed.decode(payload, link.peer, now_s), now_s)
        elif kind is links.Kind.CALL:
            self.calls.take_call(link, control_pb2.Call.FromString(payload), now_s)
        elif kind is links.Kind.REPLY:
            self.calls.take_reply(control_pb2.CallReply.FromString(payload))
        elif kind is links.Kind.STATE:
            self._take_state(link, payload, now_s)
        elif kind is links.Kind.SHARE_REQUEST:
            self._take_share_request(link, payload, now_s)
        elif kind is links.Kind.EVIDENCE:
            self._take_report(link, payload, now_s)
        elif kind is links.Kind.HELLO:
            self._take_hello(link, json.loads(payload))

    def _take_hello(self, link: links.Link, hello: dict) -> None:
        if "control" in hello:
            self._controls_in[link] = str(hello["control"])
            self._send_table(link)
            return
        subscriber = coordinator.Subscriber(
            rule_number=int(hello["number"]),
            name=str(hello["entry"]),
            zone=str(hello["zone"]),
            places_revision=int(hello.get("places_revision", 0)),
        )
        self._subscribers[link] = subscriber
        self._coordinator.record_subscriber_state(
            subscriber, siblings.State(hello["state"]), lean.now_s()
        )
        self._set_candidates()

    def _take_state(self, link: links.Link, payload: bytes, now_s: float) -> None:
        subscriber = self._subscribers.get(link)
        if subscriber is not None:
            self._coordinator.record_subscriber_state(
                subscriber, siblings.State(int(payload)), now_s
            )
            self._set_candidates()

    # Shares of the limits of cold targets

    def _set_candidates(self) -> None:
        vms = self._subscribers.values()
        self._granter.set_candidates({s.name: s.zone for s in vms if s.is_in_rotation})

    def _look(self, now_s: float) -> None:
        replica = self.replica
        leads = replica.leads(now_s, coldshares.VIEW_AGE_LIMIT_S)
        self._granter.look(leads=leads, term=replica.term, now_s=now_s)
        can_give = self._granter.may_give(now_s)
        if can_give != self._gives_shares and self.config.cold_overage is not None:
            event = events.SHARES_OPEN if can_give else events.SHARES_CLOSED
            self._output.write(event, "lead", self.config.name, f"term {replica.term}")
            self._gives_shares = can_give

    def _take_share_request(self, link: links.Link, payload: bytes, now_s: float) -> None:
        subscriber = self._subscribers.get(link)
        if subscriber is None:
            return
        self._look(now_s)
        content = self.replica.rules.content
        grant = self._granter.answer(payload, subscriber.name, content, now_s)
        if grant is not None:
            self.counters.events["share_grants"] += 1
            link.send(links.Kind.SHARE_GRANT, grant)

    def _take_report(self, link: links.Link, payload: bytes, now_s: float) -> None:
        subscriber = self._subscribers.get(link)
        if subscriber is None:
            self.counters.events["evidence_reports_refused"] += 1
            return
        try:
            report = evidence.Report.decode(payload, link.peer, now_s)
        except errors.DatagramError:
            self.counters.events["evidence_reports_refused"] += 1
            raise
        self._coordinator.receive_report(subscriber, report, now_s)

    # Calls

    def announce(self, target: roster.Target) -> None:
        """Takes an announcement.

        Args:
            target: The target.
        """
        self.counters.events["announcements"] += 1
        self._called_s = lean.now_s()
        self._coordinator.announce(target, self._called_s)
        self._flush()

    def end(self, identity: str, sender_ms: int | None) -> bool:
        """Takes a target's deregistration.

        Args:
            identity: The target's name.
            sender_ms: Start of the incarnation that sent it, or None if that is not known.

        Returns:
            Whether it may be acknowledged.
        """
        self._called_s = lean.now_s()
        is_taken = self._coordinator.deregister(identity, self._called_s, sender_ms)
        self._flush()
        return is_taken

    async def call(self, file: control_pb2.RuleFile | None) -> control_pb2.CallReply | None:
        """See ``calls.Calls.call``."""
        return await self.calls.call(file)

    async def order(self, order: control_pb2.ZoneOrder) -> control_pb2.CallReply | None:
        """Gives a zone order; see ``calls.Calls.order``.

        Args:
            order: The order.

        Returns:
            The answer, or None where nothing certain can be said in time.

        Raises:
            errors.ZoneError: The zone is unknown.
        """
        evacuations.check_zone(order.zone, self.config.zones)
        return await self.calls.order(order)

    def _tell_disk(self, error: errors.StorageError) -> None:
        self.counters.events["disk_failures"] += 1
        self._output.write(events.DISK_FAILED, error.step, error.peer, error.reason)

    def _pass_on(self, leader: str, call: control_pb2.Call) -> bool:
        if leader not in self._diallers:
            return False
        return self._send(leader, links.Kind.CALL, call.SerializeToString())

    # Output

    def _send(self, name: str, kind: links.Kind, payload: bytes) -> bool:
        """Sends on the connection that this VM opened, or else on one that the peer opened.

        An attempt made while the peer had no power hangs for a while after it is back.
        """
        if self._dial(name).link.send(kind, payload):
            return True
        for link, peer in list(self._controls_in.items()):
            if peer == name and link.send(kind, payload):
                return True
        return False

    def _take_output(self, output: replica_thread.Output) -> None:
        """Sends what a step of the replica produced: subscribers first, then whoever waits."""
        now_s = lean.now_s()
        self._coordinator.take_view(output.view, now_s)
        for message in output.messages:
            name = consensus.name_of(message.recipient)
            self._used_s[name] = now_s
            self._send(name, links.Kind.REPLICA, message.SerializeToString())
        self._flush()
        self.calls.take_output(output)
        for notice in output.notices:
            self._output.write(notice.event, "decide", notice.peer, notice.detail)
        if output.disk_error is not None:
            self._tell_disk(output.disk_error)

    def _flush(self) -> None:
        """Sends updates to subscribers and gossip to other control VMs."""
        now_s = lean.now_s()
        self._feed_subscribers(now_s)
        gossip = self._coordinator.take_gossip(now_s)
        if gossip is not None:
            data = feed.encode(gossip, now_s)
            for name in self._diallers:
                self._send(name, links.Kind.GOSSIP, data)
        for notice in self._coordinator.notices:
            self._output.write(notice.event, "decide", notice.peer, notice.detail)
        self._coordinator.notices.clear()

    def _feed_subscribers(self, now_s: float) -> None:
        # Most subscribers are sent the same.
        encoded: dict[feed.Update, bytes] = {}
        for link, subscriber in list(self._subscribers.items()):
            update = self._coordinator.update_for(subscriber, now_s)
            if update is None:
                continue
            if update not in encoded:
                encoded[update] = feed.encode(update, now_s)
            link.send(links.Kind.UPDATE, encoded[update])

    async def _tick_forever(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            now_s = lean.now_s()
            self.calls.tick(now_s)
            if self._replica.failure is not None:
                raise self._replica.failure
            self._replica.tick()
            self._coordinator.tick(now_s)
            self._look(now_s)
            self._sync_diallers(now_s)
            for link in (*self._subscribers, *self._controls_in):
                link.tick()
            self._flush()

    async def leave(self) -> None:
        """Gives leadership away, answers the calls that are open or still arrive, then ends."""
        deadline_s = lean.now_s() + STOP_LIMIT_S
        self._replica.transfer_leadership()
        while self.replica.role is consensus.Role.LEADER and lean.now_s() < deadline_s:
            await asyncio.sleep(TICK_S)
        for server in self._servers:
            server.close()
        quiet_s = lean.now_s()
        while (now_s := lean.now_s()) < deadline_s and now_s - quiet_s < STOP_QUIET_S:
            if self.calls.open_count or self._called_s > quiet_s:
                quiet_s = now_s
            await asyncio.sleep(TICK_S)
        self._replica.stop()
        self.task.cancel()
        self._output.write(events.PROCESS_STOPPED, "stop", self.config.name, "")
