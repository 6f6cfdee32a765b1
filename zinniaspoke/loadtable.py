"""Look-up tables of an entry VM's targets, with the load and health that it observes of each."""

import collections
from collections.abc import Sequence

from zinniaspoke import choosing, resets, roster, subscription, zones

# Incarnations that have ended, by token, for the flows that were open there.
FORMER_LIMIT = 1000


class LoadTable:
    """Targets by routing token and by service, rebuilt when the view has changed.

    Attributes:
        loads: Load and health of all known targets, by token.
    """

    def __init__(self, *, view: subscription.Subscription, judge: resets.Judge) -> None:
        """Starts empty.

        Args:
            view: The rules and targets that this VM knows.
            judge: Is told which targets have ended.
        """
        self._view = view
        self._judge = judge
        self.loads: dict[int, choosing.Load] = {}
        # By tokens of earlier incarnations under the same name and at the same address. Which of
        # them took an opening with such a token is not known; the target itself resets flows that
        # it does not hold.
        self._restarted: dict[int, choosing.Load] = {}
        self._former: dict[int, choosing.Load] = {}
        # Tokens of those in whose place a target of another service runs under the same name.
        self._taken_over: set[int] = set()
        self._ready_by_service: dict[str, list[choosing.Load]] = {}
        self._zones = collections.defaultdict[str, zones.ZoneHealth](zones.ZoneHealth)
        self._revision = -1

    def find(self, token: int) -> choosing.Load | None:
        """Returns the target that a routing token names, or None.

        Args:
            token: The token.
        """
        return self.find_listed(token) or self._former.get(token)

    def find_listed(self, token: int) -> choosing.Load | None:
        """Returns the listed target that a routing token names, or None.

        Args:
            token: The token of the target, or of an earlier incarnation that ran in its place.
        """
        return self.loads.get(token) or self._restarted.get(token)

    def ready(self, service: str) -> Sequence[choosing.Load]:
        """Returns the targets of a service that take new flows.

        Args:
            service: The service.
        """
        return self._ready_by_service.get(service, ())

    def refresh(self, now_s: float) -> None:
        """Rebuilds the tables if targets or rules have changed.

        Args:
            now_s: Current time.
        """
        if self._revision == self._view.revision:
            return
        self._revision = self._view.revision
        self._ready_by_service = {}
        target_by_token: dict[int, roster.Target] = {}
        entries = sorted(self._view.targets.entries(), key=lambda e: e.target.started_ms)
        for entry in entries:
            target = entry.target
            # On a token collision the older target keeps the token and the other gets no flows.
            if target_by_token.setdefault(target.token, target) is target:
                self._update(target, now_s)
        self._restarted = {}
        for target in target_by_token.values():
            for started_ms in target.former_starts:
                token = roster.token_of(target.identity, started_ms)
                if token not in target_by_token:
                    self._note_restarted(token, target, now_s)
        for token in self.loads.keys() - target_by_token.keys():
            self._retire(self.loads.pop(token), now_s)
        self._judge.keep_ended([*target_by_token, *self._restarted, *self._former])

    def _note_restarted(self, token: int, target: roster.Target, now_s: float) -> None:
        self._restarted[token] = self.loads[target.token]
        self._note_state(token, target, now_s)

    def _note_state(self, token: int, target: roster.Target, now_s: float) -> None:
        if target.may_run:
            self._judge.note_running(token)
        else:
            self._judge.note_ended(token, now_s)

    def _update(self, target: roster.Target, now_s: float) -> None:
        load = self.loads.get(target.token)
        if load is None:
            load = choosing.Load(target=target, zone=self._zones[target.zone])
            self.loads[target.token] = load
        load.target = target
        load.is_silent = not self._view.is_alive(target.identity)
        self._note_state(target.token, target, now_s)
        if target.state is roster.State.READY:
            self._ready_by_service.setdefault(target.service, []).append(load)

    def _retire(self, load: choosing.Load, now_s: float) -> None:
        """Keeps what its flows need of a target that has started again in another place."""
        entry = self._view.targets.find(load.target.identity)
        if entry is not None and load.target.token not in self._restarted:
            self._former[load.target.token] = load
            is_same_place = entry.target.address == load.target.address
            if is_same_place and entry.target.service != load.target.service:
                self._taken_over.add(load.target.token)
            self._judge.note_ended(load.target.token, now_s)
            if len(self._former) > FORMER_LIMIT:
                oldest = next(iter(self._former))
                del self._former[oldest]
                self._taken_over.discard(oldest)

    def is_taken_over(self, target: roster.Target) -> bool:
        """Whether packets for a target would now reach a target of another service.

        Args:
            target: The target.
        """
        return target.token in self._taken_over

    def take_zone_changes(self) -> list[tuple[str, bool]]:
        """Returns the availability zones that became suspected, or answer again, since last asked.

        Returns:
            Names of zones, each with whether it is suspected.
        """
        changes = [(name, zone.take_change()) for name, zone in self._zones.items()]
        return [(name, change) for name, change in changes if change is not None]
