"""The registry of strategies that locate a flow's target."""

import random
import subprocess
import sys

import pytest

from zinniaspoke import errors, location, steering, subscription

HAS_RETURN_TRAFFIC = location.PacketFeatures(has_return_traffic=True)
ECHOES_TOKEN = location.PacketFeatures(echoes_token=True)


def test_tokens_strategy_builds_steering():
    rng = random.Random(1)
    view = subscription.Subscription(
        seeds=("c1:1",), contact_s=4.0, retain_s=60.0, rng=rng, now_s=0.0
    )
    core = location.create("tokens", ECHOES_TOKEN, view=view, rng=rng)
    assert isinstance(core, steering.Steering)


@pytest.mark.parametrize(
    ("name", "features", "reason"),
    [
        ("homes", ECHOES_TOKEN, "'homes' needs packets with has_return_traffic"),
        ("tokens", HAS_RETURN_TRAFFIC, "'tokens' needs packets with echoes_token"),
        ("tables", HAS_RETURN_TRAFFIC, "'tables' is not one of homes, tokens"),
    ],
)
def test_unknown_or_unsupported_strategy_is_refused(name, features, reason):
    with pytest.raises(errors.SettingsError) as caught:
        location.create(name, features)
    assert (caught.value.peer, caught.value.reason) == ("flow_location", reason)


def test_only_the_strategy_in_use_is_imported():
    script = (
        "import sys; from zinniaspoke import location\n"
        "assert not {'zinniaspoke.entry', 'zinniaspoke.steering'} & set(sys.modules)\n"
        "try: location.create('tokens', location.PacketFeatures(echoes_token=True))\n"
        "except TypeError: pass\n"
        "assert 'zinniaspoke.steering' in sys.modules\n"
        "assert 'zinniaspoke.entry' not in sys.modules\n"
    )
    subprocess.run([sys.executable, "-c", script], check=True)
