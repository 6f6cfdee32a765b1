"""An entry VM's use of verdicts on targets; does no I/O."""

from collections.abc import Iterable, Sequence

import attrs

from zinniaspoke import choosing, counters, evidence, observer

# At most this share of the targets that are left is excluded.
EXCLUDED_SHARE_LIMIT = 0.5


class Exchange:
    """An entry VM's side: its observations, and the verdicts of the control VMs that it follows.

    Attributes:
        observer: What this VM sees.
        counters: Counts of this process.
        ejected_share: Share of the targets that the last selection excluded.
    """

    def __init__(self, *, name: str, zone: str, counts: counters.Counters | None = None) -> None:
        """Starts without verdicts.

        Args:
            name: Name of this VM.
            zone: Its availability zone.
            counts: Counters of this process; None for fresh ones.
        """
        self.counters = counters.Counters() if counts is None else counts
        self.observer = observer.Observer(counts=self.counters)
        self._id = evidence.prober_id(name)
        self._zone = zone
        # Verdicts by control VM.
        self._given: dict[str, dict[evidence.Key, evidence.Verdict]] = {}
        self._heard: tuple[str, ...] = ()
        self._in_force: dict[int, evidence.Verdict] = {}
        self.ejected_share = 0.0

    def __len__(self) -> int:
        return len(self._in_force)

    def apply(self, control: str, verdicts: Iterable[evidence.Verdict], now_s: float) -> None:
        """Takes changes of verdicts from a control VM.

        Args:
            control: Its name.
            verdicts: Verdicts given, changed or withdrawn.
            now_s: Current time.
        """
        given = self._given.setdefault(control, {})
        for verdict in verdicts:
            if verdict.weight:
                given[verdict.key] = verdict
            else:
                given.pop(verdict.key, None)
        self.refresh(self._heard, now_s)

    def forget(self, control: str) -> None:
        """Discards the verdicts of a control VM whose connection was lost.

        Args:
            control: Its name.
        """
        self._given.pop(control, None)

    def refresh(self, heard: Sequence[str], now_s: float) -> None:
        """Merges the verdicts: one counts if half of the control VMs that are heard give it.

        Args:
            heard: Names of the control VMs that are heard.
            now_s: Current time.
        """
        self._heard = tuple(heard)
        if not self._in_force and not any(self._given.values()):
            return
        votes: dict[evidence.Key, list[evidence.Verdict]] = {}
        for name in self._heard:
            for key, verdict in list(self._given.get(name, {}).items()):
                if verdict.concerns(self._zone, now_s):
                    votes.setdefault(key, []).append(verdict)
                elif now_s - verdict.failed_s >= evidence.HOLD_S:
                    del self._given[name][key]
        self._in_force = {}
        for (token, kind), given in sorted(votes.items(), key=lambda item: item[0]):
            if 2 * len(given) < len(self._heard):
                continue
            newest = max(given, key=lambda verdict: verdict.failed_s)
            probers = {prober for verdict in given for prober in verdict.probers}
            # The worse kind comes later and replaces the other.
            self._in_force[token] = attrs.evolve(newest, kind=kind, probers=tuple(sorted(probers)))

    def take_report(self, now_s: float) -> evidence.Report | None:
        """Returns the report to send now, or None.

        Args:
            now_s: Current time.
        """
        return self.observer.take_report(self._in_force.values(), now_s)

    def verdict_on(self, token: int, now_s: float) -> evidence.Verdict | None:
        """Returns the verdict by which this VM avoids a target, unless it has seen better.

        Args:
            token: The target's token.
            now_s: Current time.
        """
        verdict = self._in_force.get(token)
        if verdict is None or now_s - verdict.failed_s >= evidence.HOLD_S:
            return None
        return None if self.observer.answered_s(verdict.key) > verdict.failed_s else verdict

    def usable(
        self, loads: Sequence[choosing.Load], now_s: float, *, may_probe: bool
    ) -> Sequence[choosing.Load]:
        """Excludes targets under verdict, at most ``EXCLUDED_SHARE_LIMIT`` of all.

        If this VM has to try one of them now, that one alone is returned.

        Args:
            loads: Targets that may be used otherwise.
            now_s: Current time.
            may_probe: Whether the opening may be used to try a target under verdict.
        """
        self.ejected_share = 0.0
        if not self._in_force:
            return loads
        suspects = []
        for load in loads:
            verdict = self.verdict_on(load.target.token, now_s)
            if verdict is not None:
                suspects.append((verdict, load))
        if may_probe:
            for verdict, load in suspects:
                if self._id in verdict.probers and _is_probe_due(load, now_s):
                    self.counters.events["evidence_probes"] += 1
                    return [load]
        if not suspects:
            return loads
        suspects.sort(key=lambda found: (-found[0].kind, -found[0].weight, found[0].token))
        del suspects[int(len(loads) * EXCLUDED_SHARE_LIMIT) :]
        left = _without(loads, suspects)
        if not any(load.has_capacity for load in left):
            # A slow target is better than waiting.
            left = _without(
                loads, [found for found in suspects if found[0].kind is evidence.Kind.DARK]
            )
        if len(left) < len(loads):
            self.ejected_share = 1 - len(left) / len(loads)
            self.counters.events["evidence_exclusions"] += 1
        return left


def _is_probe_due(load: choosing.Load, now_s: float) -> bool:
    is_pause_over = now_s - load.last_placed_s > choosing.SUSPICION_BASE_S
    return is_pause_over and load.is_eligible(now_s) and load.has_capacity


def _without(
    loads: Sequence[choosing.Load], suspects: Iterable[tuple[evidence.Verdict, choosing.Load]]
) -> list[choosing.Load]:
    tokens = {verdict.token for verdict, _ in suspects}
    return [load for load in loads if load.target.token not in tokens]
