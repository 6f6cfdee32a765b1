"""Entry VMs and control VMs that share evidence, in one process without a network."""

import random

import test_steering

from zinniaspoke import (
    coordinator,
    counters,
    errors,
    evidence,
    exchange,
    feed,
    roster,
    steering,
    subscription,
)

ZONES = ("a", "b", "c")
TICK_S = 0.1
LINK_S = 0.004
target = test_steering.target


class Fleet:
    """Entry VMs and control VMs in one process; messages take ``LINK_S``.

    Each entry VM ticks on its own phase. ``is_dark`` tells whether a VM reaches a target.
    """

    def __init__(self, vm_count=12, target_count=12, seed=1, control_count=4, is_shared=True):
        self.is_shared = is_shared
        self.rng = random.Random(seed)
        self.now_s = 100.0
        self.targets = [target(n, zone=ZONES[n % 3]) for n in range(1, target_count + 1)]
        self.controls = [self.control(f"c{n}:1") for n in range(control_count)]
        self.vms = [self.vm(n) for n in range(vm_count)]
        self.agenda = []
        self.is_reachable = lambda vm, chosen: True
        self.is_linked = lambda vm, control: True
        self.sent_bytes = 0
        self.opened = 0
        for vm in self.vms:
            for control in self.controls:
                self.feed(control, vm)

    def control(self, name):
        made = coordinator.Coordinator(
            name=name,
            seeds=(name,),
            targets=roster.Roster(silent_after_s=1e6, retain_s=60.0),
            announcement_interval_s=1.2,
            now_s=0.0,
            counts=counters.Counters(),
        )
        for known in self.targets:
            made.announce(known, self.now_s)
        made.take_gossip(self.now_s)
        return made

    def vm(self, number):
        name, zone = f"vm-{number}", ZONES[number % 3]
        shared = exchange.Exchange(name=name, zone=zone)
        rng = random.Random(number)
        view = subscription.Subscription(
            seeds=[c.name for c in self.controls],
            contact_s=4.0,
            retain_s=60.0,
            rng=rng,
            now_s=self.now_s,
            shared=shared,
        )
        core = steering.Steering(
            view=view, rng=rng, own_zone=zone, shared=shared, counts=shared.counters
        )
        rules = test_steering.update(*self.targets, number=1, content=test_steering.RULES)
        for control in self.controls:
            view.apply_update(control.name, rules, self.now_s)
        made = type("EntryVm", (), {})()
        made.name, made.zone, made.view, made.core, made.shared = name, zone, view, core, shared
        made.tick_s = self.now_s + self.rng.random() * TICK_S
        made.subscribers = {
            c.name: coordinator.Subscriber(name=name, zone=zone, rule_number=1)
            for c in self.controls
        }
        return made

    def later(self, delay_s, call):
        self.agenda.append((self.now_s + delay_s, len(self.agenda), call))

    def feed(self, control, vm):
        if not self.is_shared or not self.is_linked(vm, control):
            return
        update = control.update_for(vm.subscribers[control.name], self.now_s)
        if update is None:
            return
        if update.verdicts:
            self.sent_bytes += len(feed.encode(update, self.now_s))
        data = feed.encode(update, self.now_s)

        def arrive():
            decoded = feed.decode(data, control.name, self.now_s)
            vm.view.apply_update(control.name, decoded, self.now_s)

        self.later(LINK_S, arrive)

    def gossip(self, control):
        update = control.take_gossip(self.now_s)
        if update is None:
            return
        data = feed.encode(update, self.now_s)
        for other in self.controls:
            if other is not control:
                self.later(
                    LINK_S,
                    lambda o=other: o.receive_gossip(
                        feed.decode(data, "c", self.now_s), self.now_s
                    ),
                )

    def tick_vm(self, vm):
        vm.view.tick(self.now_s)
        vm.core.tick(self.now_s)
        made = vm.shared.take_report(self.now_s)
        # Each VM follows the control VMs in an order of its own.
        linked = [c for c in self.controls if self.is_linked(vm, c)]
        random.Random(vm.name).shuffle(linked)
        if made is None:
            return
        data = made.encode(self.now_s)
        for control in linked[: evidence.REPORT_COPY_COUNT]:
            self.later(LINK_S, lambda c=control: self.take_report(c, vm, data))

    def take_report(self, control, vm, data):
        decoded = evidence.Report.decode(data, vm.name, self.now_s)
        control.receive_report(vm.subscribers[control.name], decoded, self.now_s)
        self.gossip(control)

    def open(self, vm, attempt=0, key=None):
        """Opens a flow; its caller repeats after 0.2 s, and ends it once answered."""
        if key is None:
            self.opened += 1
            key = test_steering.flow(self.opened)
        packet = steering.Packet
        chosen = vm.core.steer(
            packet(
                flow=key,
                route=test_steering.LEDGER,
                kind=steering.Kind.OPENING,
                token=0,
                retransmit_count=attempt,
            ),
            self.now_s,
        )
        if isinstance(chosen, errors.Nothing):
            return chosen
        if not self.is_reachable(vm, chosen):
            if attempt < 2:
                self.later(0.2 + 0.2 * attempt, lambda: self.open(vm, attempt + 1, key))
            return chosen
        fields = {"flow": key, "route": test_steering.LEDGER, "token": chosen.token}
        self.later(
            0.004,
            lambda: vm.core.steer(
                packet(kind=steering.Kind.DATA, sequence=1, has_payload=True, **fields), self.now_s
            ),
        )
        self.later(
            0.03,
            lambda: vm.core.steer(
                packet(kind=steering.Kind.END, acknowledged=9, **fields), self.now_s
            ),
        )
        return chosen

    def run(self, seconds, rate_per_s=0, until=lambda: False):
        """Plays for a time; openings arrive at random VMs at the given rate."""
        end_s = self.now_s + seconds
        next_open_s = self.now_s
        next_control_s = self.now_s
        while self.now_s < end_s and not until():
            self.now_s += 0.002
            due = sorted(item for item in self.agenda if item[0] <= self.now_s)
            self.agenda = [item for item in self.agenda if item[0] > self.now_s]
            for _, _, call in due:
                call()
            while rate_per_s and next_open_s <= self.now_s:
                next_open_s += 1 / rate_per_s
                self.open(self.rng.choice(self.vms))
            for vm in self.vms:
                if vm.tick_s <= self.now_s:
                    vm.tick_s += TICK_S
                    self.tick_vm(vm)
            if next_control_s <= self.now_s:
                next_control_s += 0.04
                for control in self.controls:
                    control.tick(self.now_s)
                    self.gossip(control)
                    for vm in self.vms:
                        self.feed(control, vm)

    def avoiding(self, chosen):
        """Entry VMs that avoid a target because of a verdict."""
        return [vm for vm in self.vms if vm.shared.verdict_on(chosen.token, self.now_s)]
