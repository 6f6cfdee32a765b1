"""The registry of ways to find a flow's target."""

import random
import subprocess
import sys

import pytest

from zinniaspoke import errors, location, steering, subscription

SHOWS_ANSWERS = location.Carriage(shows_answers=True)
RETURNS_TOKEN = location.Carriage(returns_token=True)


def test_tokens_are_found_by_steering():
    rng = random.Random(1)
    view = subscription.Subscription(
        seeds=("c1:1",), contact_s=4.0, retain_s=60.0, rng=rng, now_s=0.0
    )
    core = location.create("tokens", RETURNS_TOKEN, view=view, rng=rng)
    assert isinstance(core, steering.Steering)


@pytest.mark.parametrize(
    ("name", "carriage", "reason"),
    [
        ("homes", RETURNS_TOKEN, "'homes' needs packets with shows_answers"),
        ("tokens", SHOWS_ANSWERS, "'tokens' needs packets with returns_token"),
        ("tables", SHOWS_ANSWERS, "'tables' is not one of homes, tokens"),
    ],
)
def test_a_way_that_the_packets_do_not_carry_is_refused(name, carriage, reason):
    with pytest.raises(errors.SettingsError) as caught:
        location.create(name, carriage)
    assert (caught.value.peer, caught.value.reason) == ("flow_location", reason)


def test_only_the_way_in_use_is_loaded():
    script = (
        "import sys; from zinniaspoke import location\n"
        "assert not {'zinniaspoke.entry', 'zinniaspoke.steering'} & set(sys.modules)\n"
        "try: location.create('tokens', location.Carriage(returns_token=True))\n"
        "except TypeError: pass\n"
        "assert 'zinniaspoke.steering' in sys.modules\n"
        "assert 'zinniaspoke.entry' not in sys.modules\n"
    )
    subprocess.run([sys.executable, "-c", script], check=True)
