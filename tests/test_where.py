"""Tests of the answer where an opening would go, against what then happens."""

import json

import attrs
import pytest
import test_steering
from hypothesis import given
from hypothesis import strategies as st
from test_steering import LEDGER, NO_RULE, Vm, flow, target

from zinniaspoke import cli, errors, selection, steering, where


def opening(key, route=LEDGER):
    return steering.Packet(flow=key, route=route, kind=steering.Kind.OPENING, token=0)


def ask(vm, key, route=LEDGER):
    return where.describe(vm.core, opening(key, route), vm.now_s)


def test_only_target_is_named_and_then_taken():
    vm = Vm(target(1))
    answer = ask(vm, flow(1))
    assert (answer.outcome, answer.target, answer.service) == ("target", "i-1", "ledger")
    assert answer.rule.startswith("line 1:")
    assert vm.packet(flow(1)).identity == "i-1"


def test_nothing_is_counted_or_recorded():
    vm = Vm(target(1), target(2, zone="b"))
    vm.view.evacuated_zones = frozenset({"a"})
    before = dict(vm.core.counters.events)
    ask(vm, flow(1))
    assert dict(vm.core.counters.events) == before
    assert vm.core.find_flow(flow(1)) is None
    assert all(load.last_placed_s < 0 for load in vm.core._table.loads.values())


def test_step_that_decides_is_shown():
    vm = Vm(target(1, zone="a"), target(2, zone="b"))
    vm.view.evacuated_zones = frozenset({"a"})
    answer = ask(vm, flow(1))
    assert dict(answer.steps)["evacuation"] == 1
    assert answer.target == "i-2"


def test_open_flow_names_the_target_of_its_record():
    vm = Vm(target(1), target(2))
    chosen = vm.open(flow(1))
    answer = ask(vm, flow(1))
    assert (answer.outcome, answer.target) == ("open", chosen.identity)


def test_refusals_and_drops_are_told_with_their_reason():
    vm = Vm(target(1))
    assert ask(vm, flow(1), NO_RULE).reason == steering.REFUSED_NO_ROUTE.reason
    assert ask(vm, flow(1), test_steering.ARCHIVE).outcome == "refused"
    assert ask(Vm(), flow(1)).reason == steering.DROPPED_NOT_READY.reason
    vm.view.evacuated_zones = frozenset({"a"})
    assert ask(vm, flow(1)).reason == selection.REFUSED_EVACUATED.reason


def test_opening_that_would_wait_is_told_as_such():
    vm = Vm(target(1, slot_count=1))
    number = 0
    while vm.packet(flow(number)) is not steering.WAITING:
        number += 1
    answer = ask(vm, flow(1000))
    assert (answer.outcome, answer.queued_count) == ("waits", 1)
    assert vm.packet(flow(1000)) is steering.WAITING


@given(st.lists(st.tuples(st.sampled_from("abc"), st.integers(1, 3)), min_size=1, max_size=6))
def test_what_is_said_is_what_then_happens(shape):
    vm = Vm(*(target(n, zone=z, slot_count=s) for n, (z, s) in enumerate(shape, start=1)))
    vm.view.evacuated_zones = frozenset({"c"})
    for number in range(30):
        answer = ask(vm, flow(number))
        found = vm.packet(flow(number))
        if isinstance(found, errors.Nothing):
            is_wait = found is steering.WAITING
            assert answer.outcome == ("waits" if is_wait else "refused")
        else:
            assert answer.outcome == "target"
            # The policy draws among equal ones.
            assert found.identity in [candidate[0] for candidate in answer.candidates]


@pytest.mark.parametrize(
    "text",
    [b"", b"[]", b"{}", b'{"caller": ["1.2.3.4", 0], "service": ["1.2.3.4", 1]}'],
)
def test_question_that_is_none_is_refused(text):
    with pytest.raises(errors.SettingsError):
        where.Question.decode(text)


@pytest.mark.parametrize("count", [0, where.FLOW_COUNT_LIMIT + 1])
def test_number_of_flows_is_bounded(count):
    with pytest.raises(errors.SettingsError):
        where.parse("10.0.0.1:4000", "10.9.0.1:443", count)


def test_question_survives_its_encoding():
    question = where.parse("10.0.0.1:4000", "10.9.0.1:443", 3)
    assert where.Question.decode(question.encode()) == question


def test_command_with_a_wrong_flow_or_an_unknown_vm_says_so(capsys):
    assert cli.main(["where", "--vm=127.0.0.1:1", "nonsense", "10.9.0.1:443"]) == cli.EXIT_USAGE
    words = ["where", "--vm=127.0.0.1:1", "10.0.0.1:4000", "10.9.0.1:443"]
    assert cli.main(words) == cli.EXIT_UNKNOWN
    assert "127.0.0.1:1" in capsys.readouterr().err


def test_answer_can_be_sent_as_json():
    vm = Vm(target(1))
    assert json.loads(json.dumps(attrs.asdict(ask(vm, flow(1)))))["target"] == "i-1"
