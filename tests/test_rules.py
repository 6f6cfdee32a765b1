"""Parser of rule files and the rule sets of an entry VM."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from zinniaspoke import errors, rulebook, rules

VALID_LINE = b"10.0.0.1:80 tcp ledger class=long idle_s=60 wait_s=1.5 # ana: counters"


def test_valid_file():
    found = rules.parse(3, b"# heading\n\n" + VALID_LINE + b"\n[fd00::1]:53 udp names # bo: phones")
    first, second = found.rules.values()
    assert (first.service, first.is_long, first.idle_s, first.wait_s) == ("ledger", True, 60, 1.5)
    assert first.comment == "ana: counters"
    assert (len(second.address), second.line) == (16, 4)
    assert found.services() == {"ledger", "names"}


def test_urgency_and_times_of_a_rule():
    lines = (
        b"10.0.0.1:80 tcp intake class=long urgency=3 aim_s=2.095 deadline_s=8.381 # ana: files\n"
        b"10.0.0.1:81 tcp intake class=long # ana: no aim\n"
        b"10.0.0.1:82 tcp shop aim_s=0.6 # ana: short work"
    )
    bulk, plain, short = rules.parse(1, lines).rules.values()
    assert (bulk.urgency, bulk.aim_s, bulk.deadline_s) == (3, 2.095, 8.381)
    assert (plain.urgency, plain.aim_s, plain.deadline_s) == (rules.DEFAULT_URGENCY, 0, 0)
    assert [rule.is_bulk for rule in (bulk, plain, short)] == [True, False, False]


@pytest.mark.parametrize(
    ("line", "reason"),
    [
        (b"10.0.0.1:80 tcp ledger", "no comment"),
        (b"10.0.0.1:80 tcp ledger #  ", "no comment"),
        (b"10.0.0.1 tcp ledger # a", "not ADDRESS:PORT"),
        (b"10.0.0.1:0 tcp ledger # a", "not ADDRESS:PORT"),
        (b"host:80 tcp ledger # a", "not an IP address"),
        (b"10.0.0.1:80 icmp ledger # a", "protocol"),
        (b"10.0.0.1:80 tcp led/ger # a", "characters"),
        (b"10.0.0.1:80 tcp # a", "expected"),
        (b"10.0.0.1:80 tcp ledger fast=1 # a", "unknown option"),
        (b"10.0.0.1:80 tcp ledger idle_s=-1 # a", "idle_s"),
        (b"10.0.0.1:80 tcp ledger idle_s=nan # a", "idle_s"),
        (b"10.0.0.1:80 tcp ledger idle_s=1 idle_s=2 # a", "twice"),
        (b"10.0.0.1:80 tcp ledger class=big # a", "class"),
        (b"10.0.0.1:80 tcp ledger urgency=10 # a", "urgency"),
        (b"10.0.0.1:80 tcp ledger urgency=-1 # a", "urgency"),
        (b"10.0.0.1:80 tcp ledger aim_s=0 # a", "aim_s"),
        (b"10.0.0.1:80 tcp ledger deadline_s=soon # a", "deadline_s"),
        (b"10.0.0.1:80 tcp ledger # a\xff", "not UTF-8"),
    ],
)
def test_invalid_line_is_refused(line, reason):
    with pytest.raises(errors.RuleError, match=reason):
        rules.parse(1, line)


def test_error_names_every_invalid_line():
    with pytest.raises(errors.RuleError) as caught:
        rules.parse(1, b"x\n" + VALID_LINE + b"\ny\n" + VALID_LINE)
    assert [word in caught.value.reason for word in ("line 1", "line 3", "line 4")] == [True] * 3


@given(st.binary(max_size=200))
def test_arbitrary_bytes_parse_or_are_refused(content):
    try:
        rules.parse(1, content)
    except errors.RuleError as error:
        assert error.reason


@given(st.lists(st.integers(0, 20)))
def test_number_in_force_never_decreases(numbers):
    book = rulebook.RuleBook()
    highest = 0
    for number in numbers:
        assert book.install(number, VALID_LINE) == (number > highest)
        highest = max(highest, number)
        assert book.number == highest


def many_lines(count):
    return [f"10.{n // 250}.{n % 250}.9:443 tcp ledger # r-{n}: fleet" for n in range(count)]


@given(st.lists(st.integers(0, 30), unique=True), st.lists(st.integers(0, 30), unique=True))
def test_unchanged_lines_are_reused_with_the_same_result(first, second):
    lines = many_lines(31)
    previous = rules.parse(1, "\n".join(lines[n] for n in first).encode())
    content = "\n".join(lines[n] for n in second).encode()
    found = rules.parse(2, content, previous)
    assert found == rules.parse(2, content)
    for index, number in enumerate(second):
        if index < len(first) and first[index] == number:
            assert found.by_text[lines[number]] is previous.by_text[lines[number]]


def test_duplicate_of_a_reused_line_is_refused():
    previous = rules.parse(1, VALID_LINE)
    with pytest.raises(errors.RuleError, match="same address as line 1"):
        rules.parse(2, VALID_LINE + b"\n" + VALID_LINE, previous)


SERVICE_LINE = b"service ledger cold_per_s=0.0 cold_start_s=2.0 # ana: fleet"


def test_service_line_gives_options_of_the_service_and_is_no_rule():
    found = rules.parse(3, VALID_LINE + b"\n" + SERVICE_LINE)
    assert len(found.rules) == 1
    options = rules.ServiceOptions(cold_per_s=0.0, cold_start_s=2.0)
    assert found.service_options == {"ledger": options}
    assert rules.parse_services(found.content) == found.service_options


def test_service_without_a_line_has_no_options():
    assert rules.parse(3, VALID_LINE).service_options == {}


@pytest.mark.parametrize(
    ("line", "reason"),
    [
        (b"service ledger cold_per_s=1", "no comment"),
        (b"service # ana: x", "expected: service NAME"),
        (b"service led;ger cold_per_s=1 # ana: x", "characters other than"),
        (b"service ledger cold_per_s=-1 # ana: x", "from 0 up"),
        (b"service ledger cold_per_s=nan # ana: x", "from 0 up"),
        (b"service ledger cold_per_s=1 cold_per_s=1 # ana: x", "given twice"),
        (b"service ledger wait_s=1 # ana: x", "unknown option"),
        (SERVICE_LINE + b"\n" + SERVICE_LINE, "has two lines"),
    ],
)
def test_wrong_service_lines_are_named(line, reason):
    with pytest.raises(errors.RuleError, match=reason):
        rules.parse(1, VALID_LINE + b"\n" + line)
