"""Faults put into the product on purpose; the promise that each breaks has to be found."""

import random
from collections.abc import Callable

import attrs

_RANDOM = random.Random(7)


@attrs.frozen(kw_only=True)
class Mutation:
    """One fault.

    Attributes:
        role: ``entry``, ``control`` or ``soak`` for the callers.
        promises: The names of findings that show it.
        faults: Kinds of faults without which it would not be seen.
        install: Changes the product's modules in this process.
    """

    role: str
    promises: tuple[str, ...]
    faults: tuple[str, ...]
    install: Callable[[], None]


MUTATIONS: dict[str, Mutation] = {}


def _mutation(role: str, *promises: str, faults: tuple[str, ...] = ()) -> Callable:
    def add(install: Callable[[], None]) -> Callable[[], None]:
        MUTATIONS[install.__name__] = Mutation(
            role=role, promises=promises, faults=faults, install=install
        )
        return install

    return add


def apply(name: str, role: str) -> None:
    """Installs a mutation if it is meant for this process."""
    if MUTATIONS[name].role == role:
        MUTATIONS[name].install()


@_mutation("entry", "drain_late", faults=("leave",))
def place_on_draining() -> None:
    """An entry VM does not hear that a target leaves."""
    from zinniaspoke import roster, subscription

    original = subscription.Subscription._apply_observation

    def observe(self, state, observation, now_s):
        if observation.target.state is roster.State.READY:
            original(self, state, observation, now_s)

    subscription.Subscription._apply_observation = observe


@_mutation("entry", "wrong_service")
def wrong_service() -> None:
    """One opening in twenty is placed among the targets of any service."""
    from zinniaspoke import steering

    original = steering.Steering._place

    def place(self, service, *rest, **options):
        if _RANDOM.random() < 0.05:
            service = _RANDOM.choice(list(self._table._ready_by_service))
        return original(self, service, *rest, **options)

    steering.Steering._place = place


def _on_data(change: Callable) -> None:
    from zinniaspoke import errors, steering

    original = steering.Steering.steer

    def steer(self, packet, now_s):
        found = original(self, packet, now_s)
        is_data = packet.kind is steering.Kind.DATA and packet.has_payload
        if not is_data or isinstance(found, errors.Nothing) or _RANDOM.random() > 0.05:
            return found
        return change(self, found)

    steering.Steering.steer = steer


@_mutation("entry", "flow_reset")
def reset_open_flows() -> None:
    """One packet of an open flow in twenty is answered with a reset."""
    from zinniaspoke import steering

    _on_data(lambda _self, _found: steering.RESET_UNRESPONSIVE)


@_mutation("entry", "flow_reset")
def other_target() -> None:
    """One packet of an open flow in twenty goes to another target."""

    def change(self, found):
        targets = [load.target for load in self._table.loads.values()]
        others = [target for target in targets if target.identity != found.identity]
        return _RANDOM.choice(others) if others else found

    _on_data(change)


@_mutation("entry", "packet_changed")
def change_packets() -> None:
    """A bit of a packet's position is lost."""
    import packet

    original = packet.Codec.to_target

    def build(self, data, target, kind):
        built = bytearray(original(self, data, target, kind))
        if _RANDOM.random() < 0.05:
            built[11] ^= 1
        return bytes(built)

    packet.Codec.to_target = build


@_mutation("entry", "rules_late", "refused_known")
def ignore_rules() -> None:
    """An entry VM keeps the first rule file that it gets."""
    from zinniaspoke import rulebook

    original = rulebook.RuleBook.install

    def install(self, number, content):
        return False if self.number else original(self, number, content)

    rulebook.RuleBook.install = install


@_mutation("entry", "rules_back", "rules_late", "refused_known")
def rules_go_back() -> None:
    """An entry VM takes up an earlier rule file again now and then."""
    from zinniaspoke import rulebook

    original = rulebook.RuleBook.install

    def install(self, number, content):
        earlier = self.__dict__.setdefault("_earlier", [])
        earlier.append(content)
        taken = _RANDOM.choice(earlier[-8:]) if _RANDOM.random() < 0.5 else content
        return original(self, number, taken)

    rulebook.RuleBook.install = install


@_mutation("entry", "memory")
def leak() -> None:
    """Each packet leaves 256 KiB behind."""
    from zinniaspoke import steering

    original, kept = steering.Steering.steer, []

    def steer(self, packet, now_s):
        kept.append(bytes(range(256)) * 1024)
        return original(self, packet, now_s)

    steering.Steering.steer = steer


@_mutation("entry", "evacuated", faults=("evacuate",))
def forget_evacuation() -> None:
    """Targets of evacuated zones get new flows."""
    from zinniaspoke import subscription

    subscription.Subscription.evacuated_zones = property(
        lambda self: frozenset(), lambda self, zones: None
    )


@_mutation("entry", "stop_late", faults=("term",))
def stay() -> None:
    """An entry VM does not end when it is asked to."""
    import asyncio

    from zinniaspoke.daemons import lean_entry

    async def leave(self):
        await asyncio.sleep(60)

    lean_entry.LeanEntry.leave = leave


@_mutation("control", "read_older")
def ack_before_commit() -> None:
    """A control VM acknowledges half of the rule files without an entry in the log."""
    from zinniaspoke import control
    from zinniaspoke.proto import control_pb2

    original = control.Control.submit

    def submit(self, number, content, now_s, source=b""):
        if _RANDOM.random() < 0.5 and self.history.number:
            file = control_pb2.RuleFile(number=number, content=content, source=source)
            request = self._new_request(file, now_s)
            self._answer(request, control_pb2.SUBMIT_OUTCOME_YES, "taken")
            return request.ticket
        return original(self, number, content, now_s, source)

    control.Control.submit = submit


@_mutation("control", "read_older", faults=("part",))
def stale_read() -> None:
    """A control VM answers reads from what it has, without a majority."""
    from zinniaspoke.daemons import lean_control
    from zinniaspoke.proto import control_pb2

    original = lean_control.LeanControl.call

    async def call(self, file):
        if file is not None:
            return await original(self, file)
        reply = control_pb2.SubmitReply(outcome=control_pb2.SUBMIT_OUTCOME_YES)
        return control_pb2.CallReply(reply=reply, file=self.replica.rules)

    lean_control.LeanControl.call = call


@_mutation("control", "read_older", "too_late", faults=("kill_all",))
def no_sync() -> None:
    """Nothing reaches the disk; a kill loses it."""
    from soak import shim

    def sync(self, name):
        return None

    shim.FaultyStorage.sync = sync


@_mutation("control", "process_ended")
def fall_over() -> None:
    """A control VM's process ends by itself at one announcement in twenty."""
    import os

    from zinniaspoke.daemons import lean_control

    original = lean_control.LeanControl.announce

    def announce(self, target):
        if _RANDOM.random() < 0.05:
            os._exit(3)
        original(self, target)

    lean_control.LeanControl.announce = announce


@_mutation("control", "order_refused")
def refuse_resent() -> None:
    """The same rule file again is refused."""
    from zinniaspoke import submissions

    submissions.Decision.is_yes = property(
        lambda self: self.verdict is submissions.Verdict.ACCEPTED
    )


@_mutation("soak", "ran_twice", "not_run_has_run")
def retry_unsafe() -> None:
    """A caller takes one answer in twenty for a refusal and repeats; see ``traffic``."""
