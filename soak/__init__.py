"""Randomised faults around the real programs; see docs/design/soak.md."""
