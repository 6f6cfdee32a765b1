"""Rule files: every wrong line is named with its number."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from zinniaspoke import errors, rulebook, rules

GOOD = b"10.0.0.1:80 tcp ledger class=long idle_s=60 wait_s=1.5 # ana: counters"


def test_good_file():
    found = rules.parse(3, b"# heading\n\n" + GOOD + b"\n[fd00::1]:53 udp names # bo: phones")
    first, second = found.rules.values()
    assert (first.service, first.is_long, first.idle_s, first.wait_s) == ("ledger", True, 60, 1.5)
    assert first.comment == "ana: counters"
    assert (len(second.address), second.line) == (16, 4)
    assert found.services() == {"ledger", "names"}


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
        (b"10.0.0.1:80 tcp ledger # a\xff", "not UTF-8"),
    ],
)
def test_wrong_lines_are_refused(line, reason):
    with pytest.raises(errors.RuleError, match=reason):
        rules.parse(1, line)


def test_every_wrong_line_is_named():
    with pytest.raises(errors.RuleError) as caught:
        rules.parse(1, b"x\n" + GOOD + b"\ny\n" + GOOD)
    assert [word in caught.value.reason for word in ("line 1", "line 3", "line 4")] == [True] * 3


@given(st.binary(max_size=200))
def test_any_bytes_parse_or_are_refused(content):
    try:
        rules.parse(1, content)
    except errors.RuleError as error:
        assert error.reason


@given(st.lists(st.integers(0, 20)))
def test_number_in_force_never_goes_down(numbers):
    book = rulebook.RuleBook()
    highest = 0
    for number in numbers:
        assert book.install(number, GOOD) == (number > highest)
        highest = max(highest, number)
        assert book.number == highest


def many_lines(count):
    return [f"10.{n // 250}.{n % 250}.9:443 tcp ledger # r-{n}: fleet" for n in range(count)]


@given(st.lists(st.integers(0, 30), unique=True), st.lists(st.integers(0, 30), unique=True))
def test_lines_that_stood_before_are_not_read_again_and_mean_the_same(first, second):
    lines = many_lines(31)
    before = rules.parse(1, "\n".join(lines[n] for n in first).encode())
    content = "\n".join(lines[n] for n in second).encode()
    found = rules.parse(2, content, before)
    assert found == rules.parse(2, content)
    for place, number in enumerate(second):
        if place < len(first) and first[place] == number:
            assert found.by_text[lines[number]] is before.by_text[lines[number]]


def test_line_that_stands_twice_is_refused_though_it_stood_before():
    before = rules.parse(1, GOOD)
    with pytest.raises(errors.RuleError, match="same address as line 1"):
        rules.parse(2, GOOD + b"\n" + GOOD, before)
