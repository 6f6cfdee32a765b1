"""The replica's thread: order of calls and output, stalled and full disks, failures."""

import asyncio
import random
import threading

import pytest
from replicas import RULE

from zinniaspoke import control, errors, log, storage
from zinniaspoke.adapters import replica_thread
from zinniaspoke.proto import control_pb2

LIMIT_S = 10.0


class Disk(storage.MemoryStorage):
    """A disk that can be stalled and filled."""

    def __init__(self):
        super().__init__(rng=random.Random(1))
        self.released = threading.Event()
        self.released.set()
        self.is_full = False

    def sync(self, name):
        assert self.released.wait(LIMIT_S)
        super().sync(name)

    def append(self, name, data):
        if self.is_full:
            raise errors.StorageError(step=f"append to {name}", peer="disk", reason="full")
        super().append(name, data)


class Owner:
    """A single replica in its thread, and its output."""

    def __init__(self, disk=None):
        self.disk = disk or Disk()
        self.now_s = 100.0
        self.outputs = []
        self.thread = replica_thread.ReplicaThread(
            open_core=self.open_core, clock=lambda: self.now_s, deliver=self.outputs.append
        )

    def open_core(self):
        return control.Control(
            name="a",
            initial_voters=("a",),
            entries=log.Log(files=self.disk),
            rng=random.Random(1),
            now_s=self.now_s,
            numbering="highest",
        )

    @property
    def view(self):
        return self.outputs[-1].view if self.outputs else control.View()

    async def until(self, condition):
        for _ in range(int(LIMIT_S / 0.01)):
            if condition():
                return
            self.now_s += 0.05
            self.thread.tick()
            await asyncio.sleep(0.01)
        raise AssertionError("not in time")

    async def lead(self):
        self.thread.start()
        await self.until(lambda: self.view.role.value == "leader")

    def answers(self):
        """Returns the outcomes by owner."""
        owners, outcomes = {}, {}
        for output in self.outputs:
            owners.update(output.entered)
            outcomes.update({owners.get(a.ticket): a.reply.outcome for a in output.answers})
        return outcomes


def file(number):
    return control_pb2.RuleFile(number=number, content=RULE + b"%d" % number)


def play(body):
    asyncio.run(asyncio.wait_for(body(), LIMIT_S * 2))


def test_answers_come_to_their_owners_with_the_rules_in_force():
    async def body():
        owner = Owner()
        await owner.lead()
        owner.thread.enter(file(3), "first")
        owner.thread.enter(None, "second")
        await owner.until(lambda: len(owner.answers()) == 2)
        yes = control_pb2.SUBMIT_OUTCOME_YES
        assert owner.answers() == {"first": yes, "second": yes}
        assert owner.view.rules.number == 3
        owner.thread.stop()

    play(body)


def test_event_loop_goes_on_while_the_disk_stalls_and_nothing_is_answered_before_the_sync():
    async def body():
        owner = Owner()
        await owner.lead()
        owner.disk.released.clear()
        owner.thread.enter(file(3), "first")
        count = len(owner.outputs)
        for _ in range(20):
            owner.now_s += 0.1
            owner.thread.tick()
            await asyncio.sleep(0.005)
        assert len(owner.outputs) <= count + 1
        assert owner.answers() == {}
        assert not owner.view.is_current(owner.now_s)
        owner.disk.released.set()
        await owner.until(lambda: owner.answers())
        assert owner.view.is_current(owner.now_s)
        owner.thread.stop()

    play(body)


def test_full_disk_refuses_the_request_and_the_thread_goes_on():
    async def body():
        owner = Owner()
        await owner.lead()
        owner.disk.is_full = True
        owner.thread.enter(file(3), "first")
        await owner.until(lambda: any(output.refused for output in owner.outputs))
        failed = next(output for output in owner.outputs if output.refused)
        assert failed.refused == ["first"]
        assert failed.disk_error.reason == "full"
        owner.disk.is_full = False
        await owner.until(lambda: owner.view.role.value == "leader")
        owner.thread.enter(file(4), "second")
        await owner.until(lambda: "second" in owner.answers())
        owner.thread.stop()

    play(body)


def test_what_waits_for_a_stalled_disk_is_bounded():
    async def body():
        owner = Owner()
        await owner.lead()
        owner.disk.released.clear()
        owner.thread.enter(file(3), "first")
        entry = control_pb2.LogEntry(rule_file=control_pb2.RuleFile(content=bytes(300_000)))
        message = control_pb2.ReplicaMessage(
            recipient="a", append_request=control_pb2.AppendRequest(entries=[entry])
        )
        taken = [owner.thread.receive(message) for _ in range(30)]
        assert 10 <= sum(taken) < 30
        assert taken == sorted(taken, reverse=True)
        owner.disk.released.set()
        await owner.until(lambda: owner.answers())
        assert owner.thread.receive(message)
        owner.thread.stop()

    play(body)


def test_timers_run_after_the_messages_that_waited():
    """After a stall the leader's messages come first, or a follower would start an election."""
    owner = Owner()
    order = []

    class Core:
        def tick(self, now_s):
            order.append("tick")

        def receive(self, message, now_s):
            order.append("message")

    owner.thread.tick()
    owner.thread.tick()
    for _ in range(3):
        owner.thread.receive(control_pb2.ReplicaMessage())
    while not owner.thread._inbox.empty():
        owner.thread._inbox.get()(Core())
    assert order == ["message", "message", "message", "tick"]


def test_error_that_the_replica_cannot_go_on_after_is_kept():
    async def body():
        owner = Owner()
        owner.open_core = None
        owner.thread._open_core = lambda: 1 / 0
        owner.thread.start()
        await owner.until(lambda: owner.thread.failure is not None)
        with pytest.raises(ZeroDivisionError):
            raise owner.thread.failure

    play(body)


def test_thread_ends_with_the_event_loop():
    async def body():
        owner = Owner()
        await owner.lead()
        return owner

    owner = asyncio.run(body())
    before = threading.active_count()
    owner.thread.tick()
    for _ in range(100):
        if threading.active_count() < before:
            return
        threading.Event().wait(0.02)
    raise AssertionError("the thread goes on")
