"""Stand-ins for callers, targets and the fabric, used by the demo and the tests."""
