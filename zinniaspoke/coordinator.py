"""A control VM's state: replicated rules, the roster of targets, and updates to entry VMs.

Subscribers are the entry VMs that are connected to this control VM.
"""

import attrs

from zinniaspoke import (
    control,
    counters,
    errors,
    events,
    evidence,
    feed,
    ledger,
    roster,
    siblings,
)

# A subscriber counts a control VM as lost after three intervals without an update.
HEARTBEAT_INTERVAL_S = 0.4
# Announcements that only renew a target are batched this long before they are gossiped.
GOSSIP_INTERVAL_S = 0.3
# After a start, the roster counts as complete after this many announcement intervals: every
# running target has announced itself by then.
COMPLETE_AFTER_INTERVALS = 2
# Subscribers hear of the end of an evacuation for this long: returning targets may be cold.
RETURN_KEEP_S = 10.0


@attrs.define(kw_only=True, slots=True)
class Subscriber:
    """What has been sent to one subscriber.

    Attributes:
        roster_revision: Revision of the roster that was last sent.
        rule_number: Number of the rule file that the subscriber holds.
        sent_s: Time of the last update.
        name: Name of the entry VM.
        zone: Availability zone of the entry VM.
        state: Rotation state that the entry VM last sent.
        siblings_revision: Revision of the zone's entry VMs that was last sent; 0 before the first.
        controls: Names of control VMs that were last sent.
        places_revision: Revision of the evacuated zones that the subscriber holds.
        verdict_revision: Revision of the ledger that was last sent.
    """

    roster_revision: int = 0
    rule_number: int = 0
    sent_s: float = -1e9
    name: str = ""
    zone: str = ""
    state: siblings.State = siblings.State.STARTING
    siblings_revision: int = 0
    controls: tuple[str, ...] = ()
    places_revision: int = 0
    verdict_revision: int = 0

    @property
    def is_in_rotation(self) -> bool:
        """Whether the fabric sends packets there and goes on with it."""
        return self.state is siblings.State.READY

    @property
    def follows_siblings(self) -> bool:
        """Whether it is sent the states of its zone's entry VMs; only one that has to stop is.

        If all were, each change in a zone would cost as many messages as the zone has entry VMs.
        """
        return self.state is siblings.State.STOPPING


class Coordinator:
    """Tracks targets and entry VMs, gossips with other control VMs and builds updates; no I/O.

    Attributes:
        name: This VM's name, HOST:PORT.
        seeds: Names of control VMs besides the members of the replica set.
        replica: What this VM's replica last published.
        targets: The roster.
        entry_vms: Rotation states of the entry VMs.
        ledger: What entry VMs report about targets; None where they do not share it.
        notices: Events to log; cleared by whoever logs them.
    """

    def __init__(
        self,
        *,
        name: str,
        seeds: tuple[str, ...],
        targets: roster.Roster,
        announcement_interval_s: float,
        now_s: float,
        counts: counters.Counters | None = None,
    ) -> None:
        """Starts with an empty roster and without rules.

        Args:
            name: This VM's name, HOST:PORT.
            seeds: Names of control VMs besides the members of the replica set.
            targets: The roster.
            announcement_interval_s: Interval at which targets announce themselves.
            now_s: Current time.
            counts: Where the merging of evidence is counted; None where it is not shared.
        """
        self.name = name
        self.seeds = seeds
        self.replica = control.View()
        self._evacuated: frozenset[str] = frozenset()
        self._returned_s: dict[str, float] = {}
        self.targets = targets
        self._complete_at_s = now_s + COMPLETE_AFTER_INTERVALS * announcement_interval_s
        self._is_complete = False
        self._pending_gossip: set[str] = set()
        self._last_gossip_s = now_s
        self._last_gossip_revision = 0
        self._logged_replica_set = ""
        self.entry_vms = siblings.Directory()
        self.notices: list[control.Notice] = []
        self._zones_by_token: dict[int, str] = {}
        self._zones_revision = -1
        self.ledger = (
            None if counts is None else ledger.Ledger(zone_of=self._zone_of, counts=counts)
        )

    def _note(self, event: events.Event, peer: str, detail: str) -> None:
        self.notices.append(control.Notice(event=event, peer=peer, detail=detail))

    # Targets

    def announce(self, target: roster.Target, now_s: float) -> None:
        """Handles an announcement that a target sent to this VM.

        Args:
            target: The target.
            now_s: Current time.
        """
        before = self.targets.revision
        known = self._record_of(target.identity)
        entry = self.targets.announce(target, now_s)
        if entry is not roster.STALE:
            self._pending_gossip.add(target.identity)
            self._log_change(entry, known, before, "announced to this VM")

    def _record_of(self, identity: str) -> roster.Target | None:
        entry = self.targets.find(identity)
        return None if entry is None else entry.target

    def _log_change(
        self, entry: roster.Entry, known: roster.Target | None, before: int, source: str
    ) -> None:
        """Logs an entry that has changed since a revision of the roster, from a known record."""
        if entry.revision <= before:
            return
        target = entry.target
        if (
            known is not None
            and known.started_ms == target.started_ms
            and known.state is roster.State.ENDED is not target.state
        ):
            detail = f"{source}: sequence {target.sequence}; the end was {known.end.name.lower()}"
            name = f"{target.identity}/{target.started_ms}"
            self._note(events.TARGET_END_WITHDRAWN, name, detail)
            return
        event = events.TARGET_CHANGED if target.state else events.TARGET_ANNOUNCED
        detail = (
            f"{source}: {target.state.name.lower()} {target.service} sequence {target.sequence}"
        )
        self._note(event, f"{target.identity}/{target.started_ms}", detail)

    def deregister(self, identity: str, now_s: float, sender_ms: int | None = None) -> bool:
        """Handles a deregistration that a target sent to this VM.

        Args:
            identity: The target's name.
            now_s: Current time.
            sender_ms: Start of the incarnation that sent it, or None if that is not known.

        Returns:
            Whether it may be acknowledged. The deregistration of an unknown target may be
            acknowledged only when the roster is complete: until then, another control VM may know
            the target.
        """
        entry = self.targets.deregister(identity, now_s, sender_ms)
        if entry is roster.STALE:
            known = self._record_of(identity).started_ms
            detail = f"sent by the incarnation of {sender_ms}; that of {known} is known"
            self._note(events.DEREGISTRATION_OUTDATED, identity, detail)
            return True
        if isinstance(entry, errors.Nothing):
            return self.is_complete(now_s)
        self._pending_gossip.add(identity)
        target = entry.target
        detail = f"{target.service}: end is {target.end.name.lower()}"
        self._note(events.TARGET_ENDED, f"{identity}/{target.started_ms}", detail)
        return True

    def has_urgent_gossip(self) -> bool:
        """Whether a change is pending that has to be gossiped at once, not with the next batch."""
        return any(
            entry.revision > self._last_gossip_revision
            for identity in self._pending_gossip
            if (entry := self.targets.find(identity)) is not None
        )

    def take_gossip(self, now_s: float) -> feed.Update | None:
        """Removes and returns the pending gossip, or None if none is due.

        Args:
            now_s: Current time.
        """
        is_due = now_s - self._last_gossip_s >= GOSSIP_INTERVAL_S
        samples = () if self.ledger is None else self.ledger.take_gossip()
        is_roster_due = self._pending_gossip and (is_due or self.has_urgent_gossip())
        if not is_roster_due:
            if not samples:
                return None
            return feed.Update(samples=samples, is_complete=self.is_complete(now_s))
        entries = [e for i in self._pending_gossip if (e := self.targets.find(i)) is not None]
        self._pending_gossip = set()
        self._last_gossip_s = now_s
        self._last_gossip_revision = self.targets.revision
        return feed.Update(
            observations=feed.to_observations(entries, now_s),
            is_complete=self.is_complete(now_s),
            samples=samples,
        )

    def full_update(self, now_s: float) -> feed.Update:
        """Returns the whole roster, to be sent to another control VM when a connection opens.

        Args:
            now_s: Current time.
        """
        return feed.Update(
            observations=feed.to_observations(self.targets.entries(), now_s),
            is_complete=self.is_complete(now_s),
            samples=() if self.ledger is None else self.ledger.samples(),
        )

    def receive_gossip(self, update: feed.Update, now_s: float) -> None:
        """Merges announcements that another control VM received.

        Args:
            update: The other control VM's update.
            now_s: Current time.
        """
        for observation in update.observations:
            before = self.targets.revision
            known = self._record_of(observation.target.identity)
            entry = self.targets.observe(observation.target, now_s - observation.age_s, now_s)
            if entry is not roster.STALE:
                self._log_change(entry, known, before, "announced to another control VM")
        if self.ledger is not None:
            self.ledger.receive_gossip(update.samples, now_s)
        if update.is_complete:
            self._mark_complete("another control VM has a complete roster")

    def is_complete(self, now_s: float) -> bool:
        """Returns whether this VM knows all targets that may hold flows.

        Args:
            now_s: Current time.
        """
        if not self._is_complete and now_s >= self._complete_at_s:
            self._mark_complete("all targets have had time to announce themselves")
        return self._is_complete

    def _mark_complete(self, reason: str) -> None:
        if not self._is_complete:
            self._is_complete = True
            self._note(events.TABLE_COMPLETE, self.name, f"{reason}: {len(self.targets)} targets")

    # Evidence about targets

    def _zone_of(self, token: int) -> str | None:
        if self._zones_revision != self.targets.revision:
            self._zones_revision = self.targets.revision
            self._zones_by_token = {
                entry.target.token: entry.target.zone for entry in self.targets.entries()
            }
        return self._zones_by_token.get(token)

    def receive_report(self, subscriber: Subscriber, report: evidence.Report, now_s: float) -> None:
        """Takes a subscriber's report about targets.

        Args:
            subscriber: The entry VM.
            report: The report.
            now_s: Current time.
        """
        if self.ledger is not None:
            self.ledger.receive_report(subscriber.name, subscriber.zone, report, now_s)

    def _judge_targets(self, now_s: float) -> None:
        if self.ledger is None:
            return
        self.ledger.tick(now_s)
        for verdict in self.ledger.changes:
            kind = verdict.kind.name.lower()
            if verdict.weight:
                zones = ", ".join(verdict.zones) or "all zones"
                detail = f"{kind}, {verdict.weight} failures, for {zones}"
                self._note(events.VERDICT_GIVEN, self._name_of(verdict.token), detail)
            else:
                self._note(events.VERDICT_WITHDRAWN, self._name_of(verdict.token), kind)
        self.ledger.changes.clear()

    def _name_of(self, token: int) -> str:
        for entry in self.targets.entries():
            if entry.target.token == token:
                return entry.target.identity
        return f"token {token}"

    # Subscribers

    def record_subscriber_state(
        self, subscriber: Subscriber, state: siblings.State, now_s: float
    ) -> None:
        """Records a subscriber's rotation state, for the other entry VMs of its zone.

        Args:
            subscriber: The entry VM.
            state: The state that it sent, or ``LOST`` when its connection was lost.
            now_s: Current time.
        """
        subscriber.state = state
        self.entry_vms.record(subscriber.zone, subscriber.name, state, now_s)

    def controls(self) -> tuple[str, ...]:
        """Returns the names of all known control VMs, this one included."""
        return tuple(sorted({self.name, *self.seeds, *self.replica.member_names()}))

    def take_view(self, view: control.View, now_s: float) -> None:
        """Takes what this VM's replica published.

        Args:
            view: Its state.
            now_s: Current time.
        """
        self.replica = view
        if view.evacuated == self._evacuated:
            return
        self._returned_s.update(dict.fromkeys(self._evacuated - view.evacuated, now_s))
        for zone in view.evacuated:
            self._returned_s.pop(zone, None)
        self._evacuated = view.evacuated

    def _returned_zones(self, now_s: float) -> tuple[tuple[str, float], ...]:
        return tuple(
            (zone, round(now_s - since_s, 2))
            for zone, since_s in sorted(self._returned_s.items())
            if now_s - since_s < RETURN_KEEP_S
        )

    def update_for(self, subscriber: Subscriber, now_s: float) -> feed.Update | None:
        """Returns the update to send to a subscriber, or None if there is nothing to send.

        Args:
            subscriber: What it has been sent; this call records the returned update in it.
            now_s: Current time.
        """
        rules = self.replica.rules
        controls = self.controls()
        siblings_revision = self.entry_vms.revision(subscriber.zone)
        has_new_siblings = (
            subscriber.follows_siblings and subscriber.siblings_revision != siblings_revision
        )
        has_changed = (
            subscriber.roster_revision < self.targets.revision
            or subscriber.rule_number < rules.number
            or subscriber.places_revision < self.replica.places_revision
            or has_new_siblings
            or (self.ledger is not None and subscriber.verdict_revision < self.ledger.revision)
        )
        if not has_changed and now_s - subscriber.sent_s < HEARTBEAT_INTERVAL_S:
            return None
        entries = self.targets.changed_since(subscriber.roster_revision)
        content = rules.content if subscriber.rule_number < rules.number else None
        subscriber.roster_revision = self.targets.revision
        subscriber.rule_number = max(subscriber.rule_number, rules.number)
        subscriber.sent_s = now_s
        has_new_controls = subscriber.controls != controls
        subscriber.controls = controls
        has_new_places = subscriber.places_revision < self.replica.places_revision
        if has_new_places:
            subscriber.places_revision = self.replica.places_revision
        entry_vms = None
        if has_new_siblings:
            entry_vms = self.entry_vms.changed_since(subscriber.zone, subscriber.siblings_revision)
            subscriber.siblings_revision = siblings_revision
        verdicts: tuple[evidence.Verdict, ...] = ()
        if self.ledger is not None:
            verdicts, subscriber.verdict_revision = self.ledger.changed_since(
                subscriber.verdict_revision
            )
        return feed.Update(
            observations=feed.to_observations(entries, now_s),
            controls=controls if has_new_controls else (),
            number=rules.number,
            content=content,
            is_current=self.replica.is_current(now_s),
            is_complete=self.is_complete(now_s),
            entry_vms=entry_vms,
            places_revision=self.replica.places_revision,
            evacuated_zones=tuple(sorted(self.replica.evacuated)) if has_new_places else None,
            returned_zones=self._returned_zones(now_s) if has_new_places else (),
            verdicts=verdicts,
        )

    def tick(self, now_s: float) -> None:
        """Expires silent targets and lost entry VMs, and logs changes of the replica set.

        Args:
            now_s: Current time.
        """
        self.entry_vms.tick(now_s)
        self._judge_targets(now_s)
        for entry in self.targets.tick(now_s):
            if entry.target.state is not roster.State.ENDED:
                silence_s = now_s - entry.heard_s
                detail = f"{entry.target.service}, no announcement for {silence_s:.1f} s"
                self._note(events.TARGET_SILENT, entry.target.identity, detail)
        voters, learners = self.replica.voters, self.replica.learners
        description = f"voters {','.join(voters)} learners {','.join(learners)}"
        if description != self._logged_replica_set:
            self._logged_replica_set = description
            self._note(events.SET_CHANGED, self.name, description)
