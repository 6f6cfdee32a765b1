"""An entry VM's view of rules and targets, merged from the updates of several control VMs."""

import random
from collections.abc import Iterable

import attrs

from zinniaspoke import events, exchange, feed, roster, rulebook, siblings

# An entry VM subscribes to several control VMs at once, since one may be stale without knowing it.
SUBSCRIPTION_COUNT = 4
# A control VM without contact to the leader for this long is replaced by another known one.
LEADER_CONTACT_TIMEOUT_S = 1.5
# The state of a control VM that sent nothing for this long, three heartbeats, is ignored.
FEED_TIMEOUT_S = 1.3
# A gap between two runs of the event loop longer than this means that the VM was suspended and has
# missed updates.
SUSPENSION_THRESHOLD_S = 0.8
# After a suspension new flows are held back until the next update, at most for this long; callers
# retransmit after 0.2 s.
CATCH_UP_TIMEOUT_S = 0.6
# Rules that no current control VM confirms are accepted after this long: a connection attempt has
# failed by then, so the zone is partitioned or the control VMs have no leader.
CONFIRMATION_TIMEOUT_S = 1.5


@attrs.define(kw_only=True, slots=True)
class FeedState:
    """Latest state received from one control VM.

    Attributes:
        last_update_s: When its last update arrived.
        last_current_s: When it last reported contact to a leader with a majority.
        controls: The control VMs that it last named.
        number: Its rule number.
        is_complete: Whether it knows all targets.
        silent: Targets whose announcements it no longer receives.
        known: Targets that it has reported.
        entry_vms: Entry VMs of this VM's zone that it reported, by name; None before it did.
    """

    last_update_s: float
    last_current_s: float
    controls: tuple[str, ...] = ()
    number: int = 0
    is_complete: bool = False
    silent: set[str] = attrs.field(factory=set)
    known: set[str] = attrs.field(factory=set)
    entry_vms: dict[str, siblings.Sibling] | None = None


class Subscription:
    """Selects the control VMs to subscribe to and merges their updates.

    Attributes:
        rules: The rules in force.
        targets: Newest records of all targets that may have flows.
        revision: Increases whenever targets, rules or evacuated zones may have changed.
        evacuated_zones: Zones whose targets get no new flows.
        places_revision: Revision of ``evacuated_zones``, the control VMs' number.
        returned_s: When the evacuation of each zone that was evacuated lately ended, at the latest.
        pending_events: Events to log, as event, peer and detail; cleared by whoever logs them.
    """

    def __init__(
        self,
        *,
        seeds: Iterable[str],
        contact_s: float,
        retain_s: float,
        rng: random.Random,
        now_s: float,
        shared: exchange.Exchange | None = None,
    ) -> None:
        """Starts without rules and targets.

        Args:
            seeds: Control VMs to connect to before others are known.
            contact_s: A target without announcements for this long counts as silent.
            retain_s: Ended targets are kept for this long, for their open flows.
            rng: Seeded random source.
            now_s: Current time.
            shared: Evidence about targets shared with other entry VMs, if it is.
        """
        self._rng = rng
        self._shared = shared
        self._contact_s = contact_s
        self.rules = rulebook.RuleBook()
        self.targets = roster.Roster(silent_after_s=contact_s, retain_s=retain_s)
        self.revision = 0
        self.evacuated_zones: frozenset[str] = frozenset()
        self.places_revision = 0
        self.returned_s: dict[str, float] = {}
        self.pending_events: list[tuple[events.Event, str, str]] = []
        self._seeds = tuple(seeds)
        self._feeds: dict[str, FeedState] = {}
        self._subscribed_s: dict[str, float] = {}
        self._unsubscribed_s: dict[str, float] = {}
        self._started_s = now_s
        self._last_tick_s = now_s
        self._resumed_s = -1e9
        self._last_update_s = -1e9
        self._has_target_table = False
        self._is_confirmed = False
        self._are_places_confirmed = False
        self._was_stale = False
        self._was_ready = False
        self._silent_targets: frozenset[str] = frozenset()
        self.select_control_vms(now_s)

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """Replaces the seeds after a change of settings.

        Args:
            seeds: Control VMs to connect to before others are known.
        """
        self._seeds = tuple(seeds)

    # Selection of control VMs

    def select_control_vms(self, now_s: float) -> list[str]:
        """Updates and returns the set of control VMs to be connected to.

        One that is silent or stale is replaced if another is known.

        Args:
            now_s: Current time.
        """
        # All that any control VM names: one that is out of date may lack some.
        known = {*self._seeds, *(name for f in self._feeds.values() for name in f.controls)}
        for name, since_s in list(self._subscribed_s.items()):
            if name not in known or (
                now_s - since_s > LEADER_CONTACT_TIMEOUT_S and self._is_stale(name, now_s)
            ):
                del self._subscribed_s[name]
                self._unsubscribed_s[name] = now_s
        others = sorted(known - self._subscribed_s.keys())
        self._rng.shuffle(others)
        # Least recently tried first.
        others.sort(key=lambda name: self._unsubscribed_s.get(name, -1e9))
        for name in others[: max(0, SUBSCRIPTION_COUNT - len(self._subscribed_s))]:
            self._subscribed_s[name] = now_s
        return list(self._subscribed_s)

    def _is_stale(self, name: str, now_s: float) -> bool:
        state = self._feeds.get(name)
        return state is None or now_s - state.last_current_s > LEADER_CONTACT_TIMEOUT_S

    # Updates

    def connection_lost(self, name: str) -> None:
        """Discards the state of a control VM whose connection was lost.

        Its reports of silent targets no longer count. The last control VM's state is kept and used
        until another control VM sends an update.

        Args:
            name: The control VM.
        """
        if self._shared is not None:
            self._shared.forget(name)
        if len(self._feeds) > 1:
            self._feeds.pop(name, None)
        elif name in self._feeds:
            self._feeds[name].last_update_s = -1e9

    def apply_update(self, name: str, update: feed.Update, now_s: float) -> None:
        """Merges an update from a control VM.

        Args:
            name: The control VM that sent it.
            update: The update.
            now_s: Current time.

        Raises:
            errors.RuleError: The rules cannot be parsed; those in force stay.
        """
        state = self._feeds.setdefault(name, FeedState(last_update_s=now_s, last_current_s=-1e9))
        state.last_update_s = now_s
        self._last_update_s = now_s
        if update.controls:
            state.controls = update.controls
        for observation in update.observations:
            self._apply_observation(state, observation, now_s)
        if update.evacuated_zones is not None and update.places_revision > self.places_revision:
            self._take_places(name, update, now_s)
        if update.content is not None and self.rules.install(update.number, update.content):
            self.revision += 1
            self.pending_events.append((events.RULES_IN_FORCE, name, f"number {update.number}"))
        state.number = update.number
        if update.is_current:
            state.last_current_s = now_s
            self._are_places_confirmed |= self.places_revision >= update.places_revision
            self._is_confirmed |= self.rules.number >= update.number > 0
        state.is_complete = update.is_complete
        if update.entry_vms is not None:
            state.entry_vms = state.entry_vms or {}
            state.entry_vms.update((sibling.name, sibling) for sibling in update.entry_vms)
        if self._shared is not None and update.verdicts:
            self._refresh_verdicts(now_s)
            self._shared.apply(name, update.verdicts, now_s)
        if update.is_complete and not self._has_target_table:
            self._has_target_table = True
            detail = f"{len(self.targets)} targets"
            self.pending_events.append((events.TABLE_COMPLETE, name, detail))

    def _take_places(self, name: str, update: feed.Update, now_s: float) -> None:
        zones = frozenset(update.evacuated_zones)
        ages_s = dict(update.returned_zones)
        returned = (self.evacuated_zones - zones) | (ages_s.keys() - zones)
        for zone in returned:
            # Without an age it ended long ago, or the control VM restarted since; taken as now.
            ended_s = now_s - ages_s.get(zone, 0.0)
            self.returned_s[zone] = max(ended_s, self.returned_s.get(zone, ended_s))
        detail = f"change {update.places_revision} from {name}"
        for zone in sorted(zones - self.evacuated_zones):
            self.returned_s.pop(zone, None)
            self.pending_events.append((events.ZONE_EVACUATED, zone, detail))
        for zone in sorted(self.evacuated_zones - zones):
            self.pending_events.append((events.ZONE_RETURNED, zone, detail))
        self.evacuated_zones = zones
        self.places_revision = update.places_revision
        self.revision += 1

    def _apply_observation(
        self, state: FeedState, observation: feed.Observation, now_s: float
    ) -> None:
        target = observation.target
        state.known.add(target.identity)
        (state.silent.add if observation.is_silent else state.silent.discard)(target.identity)
        before = self.targets.revision
        entry = self.targets.observe(target, now_s, now_s)
        if self.targets.revision != before and entry is not roster.STALE:
            cold = f", cold for {left_s:.1f} s" if (left_s := target.warm_at_s - now_s) > 0 else ""
            state = target.state.name.lower()
            if target.state is roster.State.ENDED:
                state = f"{state} ({target.end.name.lower()})"
            detail = f"{target.service} {state} sequence {target.sequence}{cold}"
            self.pending_events.append(
                (events.TARGET_CHANGED, f"{target.identity}/{target.started_ms}", detail)
            )
        self.revision += 1

    # Merged view

    def _live_feeds(self, now_s: float) -> list[FeedState]:
        """Returns the states younger than ``FEED_TIMEOUT_S``, or all where none is."""
        live = [f for f in self._feeds.values() if now_s - f.last_update_s <= FEED_TIMEOUT_S]
        return live or list(self._feeds.values())

    def _refresh_verdicts(self, now_s: float) -> None:
        if self._shared is not None:
            heard = [n for n, f in self._feeds.items() if now_s - f.last_update_s <= FEED_TIMEOUT_S]
            self._shared.refresh(heard, now_s)

    def _find_silent_targets(self, now_s: float) -> frozenset[str]:
        """Returns the targets whose announcements no reachable control VM receives any more."""
        live = self._live_feeds(now_s)
        silent = set().union(*(f.silent for f in live)) if live else set()
        return frozenset(
            identity
            for identity in silent
            if all(identity in f.silent or identity not in f.known for f in live)
        )

    def is_alive(self, identity: str) -> bool:
        """Whether any reachable control VM still receives a target's announcements.

        Args:
            identity: The target's name.
        """
        return identity not in self._silent_targets

    def entry_vms(self, now_s: float) -> dict[str, siblings.Sibling] | None:
        """Returns the entry VMs of this VM's zone, by name; None before any were reported.

        They are reported only while this VM has to stop.

        Args:
            now_s: Current time.
        """
        reports = [
            tuple(s for s in state.entry_vms.values() if not s.has_expired(now_s))
            for state in self._live_feeds(now_s)
            if state.entry_vms is not None
        ]
        return siblings.merge(reports) if reports else None

    def is_fresh(self, now_s: float) -> bool:
        """Whether new flows may be placed.

        False after a suspension until the next update, at most for ``CATCH_UP_TIMEOUT_S``: targets
        that were known before may have ended meanwhile.

        Args:
            now_s: Current time.
        """
        return (
            self._last_update_s >= self._resumed_s or now_s - self._resumed_s > CATCH_UP_TIMEOUT_S
        )

    def is_ready(self, now_s: float) -> bool:
        """Whether rules, evacuated zones and targets are known, so that packets can be handled.

        Stays true. In a partitioned zone no control VM can confirm rules and evacuated zones, so
        unconfirmed ones are accepted after ``CONFIRMATION_TIMEOUT_S``.

        Args:
            now_s: Current time.
        """
        if not self._was_ready:
            is_confirmed = (
                self._is_confirmed and self._are_places_confirmed
            ) or now_s - self._started_s > CONFIRMATION_TIMEOUT_S
            self._was_ready = (
                bool(self.rules.number) and is_confirmed and self._has_enough_targets()
            )
        return self._was_ready

    def _has_enough_targets(self) -> bool:
        """Whether the target table was complete once, or has a ready target for each service.

        After a restart of all control VMs no table is complete until the targets have announced
        themselves. Packets of flows whose target is still unknown are dropped and retransmitted.
        """
        if self._has_target_table:
            return True
        live = {
            entry.target.service
            for entry in self.targets.entries()
            if entry.target.state is roster.State.READY
        }
        return bool(self._feeds) and self.rules.current.services() <= live

    def detect_suspension(self, now_s: float) -> None:
        """Records a suspension of this VM, seen as a gap since the last call.

        Has to be called before packets or updates are handled.

        Args:
            now_s: Current time.
        """
        if now_s - self._last_tick_s > SUSPENSION_THRESHOLD_S:
            self._resumed_s = now_s
            if self._shared is not None:
                self._shared.observer.record_interruption(now_s)
        self._last_tick_s = now_s

    def tick(self, now_s: float) -> None:
        """Finds silent targets and stale rules and removes expired targets; called periodically.

        Args:
            now_s: Current time.
        """
        self.detect_suspension(now_s)
        self._refresh_verdicts(now_s)
        silent = self._find_silent_targets(now_s)
        if silent != self._silent_targets:
            for identity in silent - self._silent_targets:
                self.pending_events.append(
                    (events.TARGET_SILENT, identity, "no control VM receives its announcements")
                )
            self._silent_targets = silent
            self.revision += 1
        for entry in self.targets.entries():
            if entry.target.identity not in silent and entry.target.state is not roster.State.ENDED:
                entry.heard_s = now_s
        count = len(self.targets)
        self.targets.tick(now_s)
        if len(self.targets) != count:
            self.revision += 1
        is_stale = not any(
            now_s - f.last_current_s <= LEADER_CONTACT_TIMEOUT_S for f in self._feeds.values()
        )
        if is_stale and not self._was_stale:
            self.pending_events.append(
                (events.RULES_OLD, "control VMs", f"number {self.rules.number}")
            )
        self._was_stale = is_stale
