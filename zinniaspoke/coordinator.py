"""A control VM that agrees on rules, keeps the roster of targets and feeds followers."""

import attrs

from zinniaspoke import control, errors, events, feed, roster, siblings

# Followers take a control VM that is silent for three of these to be lost.
HEARTBEAT_INTERVAL_S = 0.4
# Announcements that change nothing are passed on together.
GOSSIP_INTERVAL_S = 0.3
# After a start, targets have announced themselves within this many intervals.
COMPLETE_AFTER_INTERVALS = 2


@attrs.define(kw_only=True, slots=True)
class Follower:
    """What a follower has been told.

    Attributes:
        roster_revision: The roster's revision that it has.
        number: The rule file that it has.
        sent_s: When it was last told anything.
        name: Its name.
        zone: Its availability zone.
        siblings_revision: What it knows of the entry VMs there.
    """

    roster_revision: int = 0
    number: int = 0
    sent_s: float = -1e9
    name: str = ""
    zone: str = ""
    siblings_revision: int = 0


class Coordinator:
    """Decisions of a control VM beside the agreement, without sockets or clocks."""

    def __init__(
        self,
        *,
        name: str,
        core: control.Control,
        targets: roster.Roster,
        announcement_interval_s: float,
        now_s: float,
    ) -> None:
        """Starts with an empty roster.

        Args:
            name: This VM's name, HOST:PORT.
            core: The agreement.
            targets: The roster.
            announcement_interval_s: How often targets announce themselves.
            now_s: Current time.
        """
        self.name = name
        self.core = core
        self.targets = targets
        self._complete_at_s = now_s + COMPLETE_AFTER_INTERVALS * announcement_interval_s
        self._is_complete = False
        self._fresh: set[str] = set()
        self._gossiped_s = now_s
        self._gossiped_revision = 0
        self._replica_set = ""
        self.entry_vms = siblings.Directory()
        self.notices: list[control.Notice] = []

    def _note(self, event: events.Event, peer: str, detail: str) -> None:
        self.notices.append(control.Notice(event=event, peer=peer, detail=detail))

    # Targets

    def announce(self, target: roster.Target, now_s: float) -> None:
        """Takes an announcement that arrived here.

        Args:
            target: The target.
            now_s: Current time.
        """
        taken = self.targets.observe(target, now_s, now_s)
        if taken is not roster.STALE:
            self._fresh.add(target.identity)
            self._tell_change(taken, "announced here")

    def _tell_change(self, entry: roster.Entry, how: str) -> None:
        if entry.revision != self.targets.revision:
            return
        target = entry.target
        event = events.TARGET_CHANGED if target.state else events.TARGET_ANNOUNCED
        detail = f"{how}: {target.state.name.lower()} {target.service} sequence {target.sequence}"
        self._note(event, f"{target.identity}/{target.started_ms}", detail)

    def deregister(self, identity: str, now_s: float) -> bool:
        """Takes a target's last word that arrived here.

        Args:
            identity: The target's name.
            now_s: Current time.

        Returns:
            Whether it may be acknowledged: not while others may know a target that this VM does
            not know yet.
        """
        entry = self.targets.deregister(identity, now_s)
        if isinstance(entry, errors.Nothing):
            return self.is_complete(now_s)
        self._fresh.add(identity)
        self._note(events.TARGET_ENDED, identity, entry.target.service)
        return True

    def has_urgent_gossip(self) -> bool:
        """Whether something changed that other control VMs must hear of at once."""
        return any(
            entry.revision > self._gossiped_revision
            for identity in self._fresh
            if (entry := self.targets.find(identity)) is not None
        )

    def take_gossip(self, now_s: float) -> feed.Update | None:
        """Returns what was heard here since the last time, where it is due.

        Args:
            now_s: Current time.
        """
        is_due = now_s - self._gossiped_s >= GOSSIP_INTERVAL_S
        if not self._fresh or not (is_due or self.has_urgent_gossip()):
            return None
        entries = [e for i in self._fresh if (e := self.targets.find(i)) is not None]
        self._fresh = set()
        self._gossiped_s = now_s
        self._gossiped_revision = self.targets.revision
        return feed.Update(
            observations=feed.to_observations(entries, now_s), is_complete=self.is_complete(now_s)
        )

    def full_update(self, now_s: float) -> feed.Update:
        """Returns all that is known of targets, for another control VM.

        Args:
            now_s: Current time.
        """
        return feed.Update(
            observations=feed.to_observations(self.targets.entries(), now_s),
            is_complete=self.is_complete(now_s),
        )

    def receive_gossip(self, update: feed.Update, now_s: float) -> None:
        """Takes what another control VM heard.

        Args:
            update: The update.
            now_s: Current time.
        """
        for observation in update.observations:
            taken = self.targets.observe(observation.target, now_s - observation.age_s, now_s)
            if taken is not roster.STALE:
                self._tell_change(taken, "heard elsewhere")
        if update.is_complete:
            self._complete("told by another control VM")

    def is_complete(self, now_s: float) -> bool:
        """Whether this VM knows all targets that may hold flows.

        Args:
            now_s: Current time.
        """
        if not self._is_complete and now_s >= self._complete_at_s:
            self._complete("all targets had time to announce themselves")
        return self._is_complete

    def _complete(self, why: str) -> None:
        if not self._is_complete:
            self._is_complete = True
            self._note(events.TABLE_COMPLETE, self.name, f"{why}: {len(self.targets)} targets")

    # Followers

    def record_follower_state(
        self, follower: Follower, state: siblings.State, now_s: float
    ) -> None:
        """Notes what a follower is to the fabric, for its siblings.

        Args:
            follower: The entry VM.
            state: Its state, or that its connection was lost.
            now_s: Current time.
        """
        self.entry_vms.record(follower.zone, follower.name, state, now_s)

    def controls(self) -> tuple[str, ...]:
        """Returns the names of the control VMs that are known, this one included."""
        replica = self.core.replica
        return tuple(sorted({self.name, *replica.discovery.seeds, *replica.member_names()}))

    def update_for(self, follower: Follower, now_s: float) -> feed.Update | None:
        """Returns what a follower has to be told now, or None.

        Args:
            follower: What it has been told; changed by this call.
            now_s: Current time.
        """
        rules = self.core.history.current
        siblings_revision = self.entry_vms.revision(follower.zone)
        has_new_siblings = follower.siblings_revision != siblings_revision
        has_changed = (
            follower.roster_revision < self.targets.revision
            or follower.number < rules.number
            or has_new_siblings
        )
        if not has_changed and now_s - follower.sent_s < HEARTBEAT_INTERVAL_S:
            return None
        entries = self.targets.changed_since(follower.roster_revision)
        content = rules.content if follower.number < rules.number else None
        follower.roster_revision = self.targets.revision
        follower.number = max(follower.number, rules.number)
        follower.sent_s = now_s
        follower.siblings_revision = siblings_revision
        return feed.Update(
            observations=feed.to_observations(entries, now_s),
            controls=self.controls(),
            number=rules.number,
            content=content,
            is_current=self.core.replica.has_leader(now_s),
            is_complete=self.is_complete(now_s),
            entry_vms=self.entry_vms.in_zone(follower.zone) if has_new_siblings else None,
        )

    def tick(self, now_s: float) -> None:
        """Does what is due.

        Args:
            now_s: Current time.
        """
        self.entry_vms.tick(now_s)
        for entry in self.targets.tick(now_s):
            if entry.target.state is not roster.State.ENDED:
                silence_s = now_s - entry.heard_s
                detail = f"{entry.target.service}, not heard for {silence_s:.1f} s"
                self._note(events.TARGET_SILENT, entry.target.identity, detail)
        replica_set = self.core.replica.replica_set
        told = f"voters {','.join(replica_set.voters)} learners {','.join(replica_set.learners)}"
        if told != self._replica_set:
            self._replica_set = told
            self._note(events.SET_CHANGED, self.name, told)
