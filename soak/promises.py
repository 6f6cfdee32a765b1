"""Judges what callers, targets and operators saw; without sockets and clocks."""

import collections
from collections.abc import Callable

import attrs

FOREVER = float("inf")


@attrs.frozen(kw_only=True)
class Finding:
    """A broken promise.

    Attributes:
        at_s: When.
        promise: Its name.
        detail: What was seen.
    """

    at_s: float
    promise: str
    detail: str


@attrs.define(kw_only=True, eq=False)
class Span:
    """A disturbance.

    Attributes:
        name: The machine, ``core`` for a control VM, or ``all``.
        start_s: When it began.
        end_s: When it ended.
        is_planned: Whether it was planned work.
    """

    name: str
    start_s: float
    end_s: float = FOREVER
    is_planned: bool = False


class Touch:
    """Tells which machines were in touch."""

    def __init__(self, *, window_s: float) -> None:
        """Starts calm."""
        self._window_s = window_s
        self.spans: list[Span] = []

    def begin(self, name: str, now_s: float, is_planned: bool = False) -> Span:
        """Notes the beginning of a disturbance; its end is set on the span."""
        self.spans.append(Span(name=name, start_s=now_s, is_planned=is_planned))
        return self.spans[-1]

    def hit(self, name: str, now_s: float, length_s: float = 0.0, is_planned: bool = False) -> None:
        """Notes a disturbance that ends by itself."""
        self.begin(name, now_s - length_s, is_planned).end_s = now_s

    def is_calm(
        self, names: tuple[str, ...], from_s: float, to_s: float, only_unplanned: bool = False
    ) -> bool:
        """Whether none of the names was disturbed from a contact window before until a moment."""
        judged = {*names, "all"}
        return not any(
            span.name in judged
            and span.start_s <= to_s
            and span.end_s >= from_s - self._window_s
            and not (only_unplanned and span.is_planned)
            for span in reversed(self.spans)
        )


@attrs.define(kw_only=True, eq=False)
class Version:
    """A rule file that an operator has sent.

    Attributes:
        routes: Service of each route's port.
        body: Its bytes.
        sent_s: When it was first sent.
        acknowledged_s: When it was first acknowledged.
    """

    routes: dict[int, str]
    body: bytes
    sent_s: float
    acknowledged_s: float = FOREVER


@attrs.define(kw_only=True, eq=False)
class Order:
    """An evacuation, or its end.

    Attributes:
        zone: The zone.
        acknowledged_s: When it was acknowledged.
        ended_s: When its end was first sent.
    """

    zone: str
    acknowledged_s: float
    ended_s: float = FOREVER


@attrs.define(kw_only=True, eq=False)
class Leaving:
    """A target that has said that it leaves.

    Attributes:
        acknowledged_s: When that was acknowledged, by a control VM in touch.
    """

    acknowledged_s: float


class Judge:
    """Holds what was seen and compares it with the promises.

    Attributes:
        touch: Who was in touch.
        versions: Rule files by number.
        findings: Broken promises.
        counts: What was judged.
    """

    def __init__(self, *, bounds: dict[str, float]) -> None:
        """Starts with nothing seen."""
        self._bounds = bounds
        self.touch = Touch(window_s=bounds["contact_window_ms"] / 1000)
        self.versions: dict[int, Version] = {}
        self.evacuations: list[Order] = []
        self.findings: list[Finding] = []
        self.counts: collections.Counter[str] = collections.Counter()
        self._leaving: dict[str, Leaving] = {}
        self._cold: dict[str, list[float]] = {}
        self._ran: dict[str, str] = {}
        self._not_run: dict[str, str] = {}
        self._floors: dict[str, tuple[int, float]] = {}
        self.tell: Callable[[Finding], None] = lambda finding: None

    def _break(self, at_s: float, promise: str, detail: str) -> None:
        finding = Finding(at_s=at_s, promise=promise, detail=detail)
        self.findings.append(finding)
        self.tell(finding)

    # Rule files

    def acknowledged(self, by_s: float) -> int:
        """Returns the highest number acknowledged by a moment."""
        return max((n for n, v in self.versions.items() if v.acknowledged_s <= by_s), default=0)

    def _possible(self, sent_s: float, now_s: float, slack_s: float) -> dict[int, Version]:
        """Returns the rule files that may decide about an opening."""
        least = self.acknowledged(sent_s - slack_s)
        return {n: v for n, v in self.versions.items() if n >= least and v.sent_s <= now_s}

    def read(self, sent_s: float, now_s: float, peer: str, number: int, body: bytes) -> None:
        """An operator read the rule file in force."""
        self.counts["reads"] += 1
        least = self.acknowledged(sent_s)
        if number < least:
            self._break(now_s, "read_older", f"{peer} shows {number} after {least}")
        known = self.versions.get(number)
        if known is None or known.body != body:
            self._break(now_s, "read_other", f"{peer} shows {number} with other content")

    def refused_order(self, now_s: float, peer: str, order: str, status: int) -> None:
        """A proper order was refused."""
        self._break(now_s, "order_refused", f"{peer} answers {order} with {status}")

    def order_overdue(self, sent_s: float, now_s: float, order: str) -> None:
        """An order has waited for its acknowledgement for the whole bound."""
        if self.touch.is_calm(("core", "operator"), sent_s, now_s):
            self._break(now_s, "order_overdue", f"{order} since {now_s - sent_s:.1f} s")

    # Openings

    def opening(
        self,
        *,
        target: str,
        service: str,
        zone: str,
        port: int,
        entry: str,
        lifetime: str,
        sent_s: float,
        now_s: float,
        flow: str,
    ) -> None:
        """A target took an opening that an entry VM sent on."""
        self.counts["openings"] += 1
        label = f"{flow} at {target} ({service}, {zone}) through {entry}"
        if not any(v.routes.get(port) == service for v in self.versions.values()):
            self._break(now_s, "wrong_service", f"{label}: no rule file sends port {port} there")
            return
        if self.touch.is_calm((entry, "core", target), sent_s, now_s):
            self.counts["openings judged in time"] += 1
            self._judge_time(target, service, zone, port, sent_s, now_s, label)
        self._judge_floor(service, port, entry, lifetime, sent_s, now_s, label)

    def _judge_time(
        self,
        target: str,
        service: str,
        zone: str,
        port: int,
        sent_s: float,
        now_s: float,
        label: str,
    ) -> None:
        possible = self._possible(sent_s, now_s, self._bounds["config_apply_ms"] / 1000)
        if possible and not any(v.routes.get(port) == service for v in possible.values()):
            self._break(now_s, "rules_late", f"{label}: not by {min(possible)} or later")
        leaving = self._leaving.get(target)
        if leaving is not None:
            late_s = now_s - leaving.acknowledged_s - self._bounds["drain_timeout_ms"] / 1000
            if late_s > 0:
                self._break(now_s, "drain_late", f"{label}: {late_s:.2f} s after the bound")
        bound_s = self._bounds["evacuation_ms"] / 1000
        for order in self.evacuations:
            if order.zone == zone and order.acknowledged_s + bound_s < now_s < order.ended_s:
                since_s = now_s - order.acknowledged_s
                self._break(now_s, "evacuated", f"{label}: {since_s:.2f} s after acknowledged")

    def _judge_floor(
        self,
        service: str,
        port: int,
        entry: str,
        lifetime: str,
        sent_s: float,
        now_s: float,
        label: str,
    ) -> None:
        """No process of an entry VM goes back behind a rule file that it has obeyed."""
        obeyed = [
            n
            for n, v in self.versions.items()
            if v.sent_s <= now_s and v.routes.get(port) == service
        ]
        if not obeyed:
            return
        floor, since_s = self._floors.get(lifetime, (0, 0.0))
        slack_s = self._bounds["rollback_slack_ms"] / 1000
        if not self.touch.is_calm((entry,), sent_s, now_s):
            slack_s *= 8
        if max(obeyed) < floor and sent_s > since_s + slack_s:
            self._break(now_s, "rules_back", f"{label}: {entry} had obeyed {floor}")
        if min(obeyed) > floor:
            self._floors[lifetime] = min(obeyed), now_s

    def refused(
        self, *, port: int, entry: str, sent_s: float, now_s: float, flow: str, has_target: bool
    ) -> None:
        """A caller's opening was reset by an entry VM."""
        self.counts["openings refused"] += 1
        possible = self._possible(sent_s, now_s, self._bounds["config_apply_ms"] / 1000)
        if not has_target or not all(port in v.routes for v in possible.values()):
            return
        if self.touch.is_calm((entry, "core", "targets"), sent_s, now_s):
            self._break(now_s, "refused_known", f"{flow} by {entry}: port {port} has its route")

    def cold_opening(self, target: str, per_s: float, sent_s: float, now_s: float) -> None:
        """A target took an opening while it was cold; the limit holds in touch or not."""
        taken = self._cold.setdefault(target, [])
        taken.append(sent_s)
        limit = per_s * self._bounds["cold_overage"] + self._bounds["cold_slack"]
        count = sum(earlier_s > now_s - 1.0 for earlier_s in taken)
        if count > limit:
            self._break(now_s, "cold_limit", f"{target} took {count} openings in a second")

    # Targets

    def leaves(self, target: str, control: str, now_s: float) -> None:
        """A control VM has acknowledged that a target leaves."""
        if target not in self._leaving and self.touch.is_calm((control,), now_s, now_s):
            self._leaving[target] = Leaving(acknowledged_s=now_s)

    # Work

    def ran(self, *, attempt: str, job: str, is_safe: bool, target: str, now_s: float) -> None:
        """A target ran a request."""
        self.counts["runs"] += 1
        if attempt in self._not_run:
            why = self._not_run[attempt]
            self._break(now_s, "not_run_has_run", f"{attempt} at {target} although {why}")
        earlier = self._ran.get(job)
        if earlier is not None and not is_safe:
            self._break(now_s, "ran_twice", f"{job} at {earlier} and {target}")
        self._ran[job] = target
        self._ran[attempt] = target

    def not_run(self, attempt: str, why: str, now_s: float) -> None:
        """The system has said that a request was not run."""
        self._not_run[attempt] = why
        if attempt in self._ran:
            self._break(now_s, "not_run_has_run", f"{attempt} at {self._ran[attempt]}, {why}")

    def foreign_reset(
        self,
        *,
        flow: str,
        port: int,
        target: str,
        source: str,
        entries: tuple[str, ...],
        opened_s: float,
        now_s: float,
    ) -> None:
        """A caller's open flow was reset by something else than its target, which lives."""
        self.counts["foreign resets"] += 1
        was_dropped = any(
            port not in v.routes for v in self.versions.values() if v.sent_s <= now_s
        ) and any(port in v.routes for v in self.versions.values() if v.sent_s <= opened_s)
        names = (target, source, "targets", *entries)
        if was_dropped and not self._route_kept(port, opened_s, now_s):
            return
        if self.touch.is_calm(names, now_s, now_s, only_unplanned=True):
            self._break(now_s, "flow_reset", f"{flow} of {target} by {source}, sent to {entries}")

    def _route_kept(self, port: int, opened_s: float, now_s: float) -> bool:
        least = self.acknowledged(opened_s)
        return all(
            port in v.routes for n, v in self.versions.items() if n >= least and v.sent_s <= now_s
        )

    def changed_packet(self, flow: str, place: str, now_s: float) -> None:
        """A packet was not as its sender wrote it."""
        self._break(now_s, "packet_changed", f"{flow} at {place}")

    # Processes

    def memory(self, name: str, used_mb: float, limit_mb: float, now_s: float) -> None:
        """A process was measured."""
        if used_mb > limit_mb:
            self._break(now_s, "memory", f"{name} holds {used_mb:.0f} MB")

    def ended(self, name: str, status: int, now_s: float) -> None:
        """A process ended that nobody had asked to."""
        self._break(now_s, "process_ended", f"{name} with status {status}")

    def slow_stop(self, name: str, now_s: float) -> None:
        """A process that was asked to end still ran after the grace period."""
        if self.touch.is_calm((name,), now_s, now_s, only_unplanned=True):
            self._break(now_s, "stop_late", name)

    def too_late(self, what: str, now_s: float) -> None:
        """The start, the reading back or the recovery took longer than its limit."""
        self._break(now_s, "too_late", what)

    def soak_failed(self, detail: str, now_s: float) -> None:
        """A task of the soak itself has failed."""
        self._break(now_s, "soak_failed", detail)
