"""Outlier ejection: targets that fail get no new flows for a while.

A minimum share of the targets stays in use, and an ejected target returns by a probe.
"""

from collections.abc import Sequence

from zinniaspoke import loads, placement

FAILURE_LIMIT = 3
EJECTION_S = 5.0
EJECTED_SHARE_LIMIT = 0.5


def record_failure(load: loads.TargetLoad, now_s: float) -> bool:
    """Counts a failed opening, and ejects the target after several consecutive ones.

    Args:
        load: The target's counts.
        now_s: Current time.

    Returns:
        True if this failure ejected the target.
    """
    load.failure_count += 1
    if load.failure_count < FAILURE_LIMIT:
        return False
    was_ejected = load.ejected_until_s > now_s
    load.ejected_until_s = now_s + EJECTION_S
    return not was_ejected


def usable_candidates(
    candidates: Sequence[placement.Candidate], now_s: float
) -> list[placement.Candidate]:
    """Excludes ejected targets, but at most ``EJECTED_SHARE_LIMIT`` of all candidates.

    A target whose ejection has expired gets one opening at a time, as a probe, until it answers.

    Args:
        candidates: Targets that accept new flows.
        now_s: Current time.

    Returns:
        The candidates that may be used now.
    """
    healthy = [c for c in candidates if not _is_excluded(c.load, now_s)]
    min_usable_count = len(candidates) - int(len(candidates) * EJECTED_SHARE_LIMIT)
    if len(healthy) >= min_usable_count:
        return healthy
    excluded = [c for c in candidates if _is_excluded(c.load, now_s)]
    excluded.sort(key=lambda c: c.load.failure_count)
    return healthy + excluded[: min_usable_count - len(healthy)]


def _is_excluded(load: loads.TargetLoad, now_s: float) -> bool:
    if load.failure_count < FAILURE_LIMIT:
        return False
    return load.ejected_until_s > now_s or load.unanswered_count > 0
