"""Test profile: the same examples on every run, unless a longer profile is asked for."""

import os
import pathlib
import sys

import hypothesis

# The adapter's modules are programs beside the package, not a package.
sys.path.append(str(pathlib.Path(__file__).resolve().parent.parent / "platform"))

hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, database=None, max_examples=50
)
hypothesis.settings.register_profile(
    "long", deadline=None, max_examples=2000, stateful_step_count=200, print_blob=True
)
hypothesis.settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))
