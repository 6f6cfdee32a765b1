"""Service levels: what is counted, merged and burnt."""

import deployment
import pytest

from zinniaspoke import burn, levels


def test_recorder_counts_each_opening_once():
    recorder = levels.LevelRecorder(wall_offset_s=600.0)
    recorder.record_opening(b"a", "ledger", 1.0)
    recorder.record_opening(b"a", "ledger", 2.0)
    recorder.record_opening(b"b", "ledger", 3.0)
    assert recorder.record_answered(b"a", 4.0) == 1.0
    assert recorder.record_answered(b"a", 5.0) == 5.0
    recorder.tick(3.0 + levels.OPENING_TIMEOUT_S)
    (minute,) = recorder.minutes()["ledger"]
    assert (minute.minute, minute.answered, minute.unanswered) == (10, 1, 1)


def test_merge_adds_up_by_minute():
    first = levels.Minute(minute=1, answered=2, answers=[1] * 9)
    second = levels.Minute(minute=1, answered=3, broken=1, answers=[2] * 9)
    other = levels.Minute(minute=2)
    merged = levels.merge([{"s": [first]}, {"s": [second, other]}])
    assert [(m.minute, m.answered, m.broken) for m in merged["s"]] == [(1, 5, 1), (2, 0, 0)]
    assert merged["s"][0].answers == [3] * 9
    assert first.answered == 2


def test_burn_over_windows():
    objective = burn.Objective(service="s", availability=0.99, first_answer_s=0.1)
    minutes = [
        levels.Minute(minute=100 - 30, answered=1000),
        levels.Minute(minute=100, answered=98, unanswered=2, answers=[50, 0, 48, 2, 0, 0, 0, 0, 0]),
    ]
    found = {b.kind: b for b in burn.compute({"s": minutes}, [objective], 100)}
    short, hour, *_ = found["availability"].rates
    assert short == pytest.approx(2.0)
    assert hour == pytest.approx(2 / 1100 / 0.01)
    assert found["availability"].budget_left == pytest.approx(1 - 2 / 11)
    assert found["first answer"].rates[0] == pytest.approx(2.0)
    assert found["unbroken flows"].rates == (None,) * 4


def test_entry_vms_count_what_callers_saw():
    net = deployment.start()
    deployment.open_flows(net, 40)
    deployment.run_for(net, 5.0)
    merged = levels.merge([node.core.recorder.minutes() for node in net.nodes.values()])
    minutes = [minute for found in merged.values() for minute in found]
    assert sum(minute.answered for minute in minutes) == 40
    assert sum(sum(minute.answers) for minute in minutes) == 40
    assert sum(minute.ended for minute in minutes) == 40
    assert sum(minute.broken + minute.unanswered for minute in minutes) == 0
