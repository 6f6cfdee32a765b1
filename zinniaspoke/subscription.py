"""An entry VM's view of rules and targets, merged from the control VMs that it follows."""

import random
from collections.abc import Iterable

import attrs

from zinniaspoke import events, feed, roster, rulebook, siblings

# Several control VMs are followed at once, since one may be old without knowing it.
FOLLOW_COUNT = 4
# A control VM without contact to the leader for this long is exchanged where others are known.
OLD_LIMIT_S = 1.5
# One that told nothing for this long has no say any more; three of its heartbeats.
SILENCE_S = 1.3
# A VM that was suspended for longer than this has missed updates.
GAP_S = 0.8
# After such a gap new flows wait this long at most for an update; callers repeat after 0.2 s.
CATCH_UP_S = 0.6
# Rules that nobody confirms are taken after this long: a connection attempt has failed by then,
# so the zone is cut off, or the control VMs have no leader.
UNCONFIRMED_S = 1.5


@attrs.define(kw_only=True, slots=True)
class Feed:
    """What one followed control VM said.

    Attributes:
        heard_s: When it last told anything.
        current_s: When it last heard a leader with a majority.
        number: Rule number that it held.
        is_complete: Whether it knows all targets.
        silent: Targets that it has not heard for a while.
        known: Targets that it told of.
        entry_vms: Entry VMs of this VM's zone, as it sees them.
    """

    heard_s: float
    current_s: float
    number: int = 0
    is_complete: bool = False
    silent: set[str] = attrs.field(factory=set)
    known: set[str] = attrs.field(factory=set)
    entry_vms: tuple[siblings.Sibling, ...] = ()


class Subscription:
    """Chooses whom to follow and merges what they tell.

    Attributes:
        rules: The rules in force.
        targets: Newest records of all targets that may hold flows.
        revision: Rises whenever targets or rules may have changed.
        pending_events: Events to log: event, peer, detail.
    """

    def __init__(
        self,
        *,
        seeds: Iterable[str],
        contact_s: float,
        retain_s: float,
        rng: random.Random,
        now_s: float,
    ) -> None:
        """Starts with nothing known.

        Args:
            seeds: Control VMs to start from.
            contact_s: After this time a target that nobody hears counts as silent.
            retain_s: Targets that end are kept this long, for their open flows.
            rng: Seeded random source.
            now_s: Current time.
        """
        self._rng = rng
        self._contact_s = contact_s
        self.rules = rulebook.RuleBook()
        self.targets = roster.Roster(silent_after_s=contact_s, retain_s=retain_s)
        self.revision = 0
        self.pending_events: list[tuple[events.Event, str, str]] = []
        self._seeds = tuple(seeds)
        self._known: set[str] = set()
        self._feeds: dict[str, Feed] = {}
        self._chosen: dict[str, float] = {}
        self._dropped_s: dict[str, float] = {}
        self._started_s = now_s
        self._ticked_s = now_s
        self._woke_s = -1e9
        self._updated_s = -1e9
        self._has_table = False
        self._is_confirmed = False
        self._was_old = False
        self._was_ready = False
        self._dead: frozenset[str] = frozenset()
        self.select_control_vms(now_s)

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """Takes changed settings.

        Args:
            seeds: Control VMs to start from.
        """
        self._seeds = tuple(seeds)

    # Whom to follow

    def select_control_vms(self, now_s: float) -> list[str]:
        """Returns the control VMs to be connected to.

        One that is silent or old gives its place to another, where there is another.

        Args:
            now_s: Current time.
        """
        known = {*self._seeds, *self._known}
        for name, since_s in list(self._chosen.items()):
            if name not in known or (now_s - since_s > OLD_LIMIT_S and self._is_old(name, now_s)):
                del self._chosen[name]
                self._dropped_s[name] = now_s
        others = sorted(known - self._chosen.keys())
        self._rng.shuffle(others)
        # Those that were not tried for longest come first.
        others.sort(key=lambda name: self._dropped_s.get(name, -1e9))
        for name in others[: max(0, FOLLOW_COUNT - len(self._chosen))]:
            self._chosen[name] = now_s
        return list(self._chosen)

    def _is_old(self, name: str, now_s: float) -> bool:
        told = self._feeds.get(name)
        return told is None or now_s - told.current_s > OLD_LIMIT_S

    # What they tell

    def connection_lost(self, name: str) -> None:
        """A connection to a control VM was lost; what it said of silent targets counts no more.

        Args:
            name: The control VM.
        """
        if len(self._feeds) > 1:
            self._feeds.pop(name, None)
        elif name in self._feeds:
            self._feeds[name].heard_s = -1e9

    def apply_update(self, name: str, update: feed.Update, now_s: float) -> None:
        """Takes an update.

        Args:
            name: The control VM that sent it.
            update: The update.
            now_s: Current time.

        Raises:
            errors.RuleError: The rules cannot be read; those in force stay.
        """
        told = self._feeds.setdefault(name, Feed(heard_s=now_s, current_s=-1e9))
        told.heard_s = now_s
        self._updated_s = now_s
        if update.controls:
            self._known = set(update.controls)
        for observation in update.observations:
            self._take_observation(told, observation, now_s)
        if update.content is not None and self.rules.install(update.number, update.content):
            self.revision += 1
            self.pending_events.append((events.RULES_IN_FORCE, name, f"number {update.number}"))
        told.number = update.number
        if update.is_current:
            told.current_s = now_s
            self._is_confirmed |= self.rules.number >= update.number > 0
        told.is_complete = update.is_complete
        if update.entry_vms is not None:
            told.entry_vms = update.entry_vms
        if update.is_complete and not self._has_table:
            self._has_table = True
            detail = f"{len(self.targets)} targets"
            self.pending_events.append((events.TABLE_COMPLETE, name, detail))

    def _take_observation(self, told: Feed, observation: feed.Observation, now_s: float) -> None:
        target = observation.target
        told.known.add(target.identity)
        (told.silent.add if observation.is_silent else told.silent.discard)(target.identity)
        before = self.targets.revision
        entry = self.targets.observe(target, now_s, now_s)
        if self.targets.revision != before and entry is not roster.STALE:
            detail = f"{target.service} {target.state.name.lower()} sequence {target.sequence}"
            self.pending_events.append(
                (events.TARGET_CHANGED, f"{target.identity}/{target.started_ms}", detail)
            )
        self.revision += 1

    # What follows from it

    def _live_feeds(self, now_s: float) -> list[Feed]:
        """Feeds that have a say; where all are silent, those that spoke last."""
        live = [f for f in self._feeds.values() if now_s - f.heard_s <= SILENCE_S]
        return live or list(self._feeds.values())

    def _find_dead(self, now_s: float) -> frozenset[str]:
        """Targets that no reachable control VM hears any more."""
        live = self._live_feeds(now_s)
        silent = set().union(*(f.silent for f in live)) if live else set()
        return frozenset(
            identity
            for identity in silent
            if all(identity in f.silent or identity not in f.known for f in live)
        )

    def is_alive(self, identity: str) -> bool:
        """Whether a target still announces itself, as far as any reachable control VM knows.

        Args:
            identity: The target's name.
        """
        return identity not in self._dead

    def entry_vms(self, now_s: float) -> dict[str, siblings.Sibling]:
        """Returns the entry VMs of this VM's zone, by name.

        Args:
            now_s: Current time.
        """
        return siblings.merge([told.entry_vms for told in self._live_feeds(now_s)])

    def is_fresh(self, now_s: float) -> bool:
        """Whether new flows may be placed: not on what was known before a suspension.

        Args:
            now_s: Current time.
        """
        return self._updated_s >= self._woke_s or now_s - self._woke_s > CATCH_UP_S

    def is_ready(self, now_s: float) -> bool:
        """Whether packets may come: rules and targets are known. Once true, it stays so.

        In a zone that is cut off nobody can confirm the rules; then what can be had has to do.

        Args:
            now_s: Current time.
        """
        if not self._was_ready:
            is_confirmed = self._is_confirmed or now_s - self._started_s > UNCONFIRMED_S
            self._was_ready = bool(self.rules.number) and is_confirmed and self._knows_targets()
        return self._was_ready

    def _knows_targets(self) -> bool:
        """Whether all targets are known, or one of each service and nobody knows more.

        After a restart of all control VMs the table fills up as targets announce themselves.
        Packets of a flow whose target is not known yet are dropped and come again.
        """
        if self._has_table:
            return True
        live = {
            entry.target.service
            for entry in self.targets.entries()
            if entry.target.state is roster.State.READY
        }
        return bool(self._feeds) and self.rules.current.services() <= live

    def detect_suspension(self, now_s: float) -> None:
        """Notices that this VM was suspended; called before anything else is done.

        Args:
            now_s: Current time.
        """
        if now_s - self._ticked_s > GAP_S:
            self._woke_s = now_s
        self._ticked_s = now_s

    def tick(self, now_s: float) -> None:
        """Does what is due.

        Args:
            now_s: Current time.
        """
        self.detect_suspension(now_s)
        dead = self._find_dead(now_s)
        if dead != self._dead:
            for identity in dead - self._dead:
                self.pending_events.append(
                    (events.TARGET_SILENT, identity, "no control VM hears it")
                )
            self._dead = dead
            self.revision += 1
        for entry in self.targets.entries():
            if entry.target.identity not in dead and entry.target.state is not roster.State.ENDED:
                entry.heard_s = now_s
        count = len(self.targets)
        self.targets.tick(now_s)
        if len(self.targets) != count:
            self.revision += 1
        is_old = not any(now_s - f.current_s <= OLD_LIMIT_S for f in self._feeds.values())
        if is_old and not self._was_old:
            self.pending_events.append(
                (events.RULES_OLD, "control VMs", f"number {self.rules.number}")
            )
        self._was_old = is_old
