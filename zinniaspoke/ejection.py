"""Ejection of targets that fail, with a floor and a probed return."""

from collections.abc import Sequence

from zinniaspoke import loads, placement

FAILURE_LIMIT = 3
EJECTION_S = 5.0
EJECTED_SHARE_LIMIT = 0.5


def note_failure(load: loads.TargetLoad, now_s: float) -> bool:
    """Counts a failed opening and ejects the target after several in a row.

    Args:
        load: The target's load.
        now_s: Current time.

    Returns:
        True where this failure ejected it.
    """
    load.failure_count += 1
    if load.failure_count < FAILURE_LIMIT:
        return False
    was_ejected = load.ejected_until_s > now_s
    load.ejected_until_s = now_s + EJECTION_S
    return not was_ejected


def keep_usable(
    candidates: Sequence[placement.Candidate], now_s: float
) -> list[placement.Candidate]:
    """Leaves out ejected targets, but never more than a share of the service.

    A target whose ejection ran out takes one opening at a time until it answers.

    Args:
        candidates: Targets that take new work.
        now_s: Current time.

    Returns:
        Those that may be used now.
    """
    healthy = [c for c in candidates if not _is_barred(c.load, now_s)]
    least_count = len(candidates) - int(len(candidates) * EJECTED_SHARE_LIMIT)
    if len(healthy) >= least_count:
        return healthy
    barred = [c for c in candidates if _is_barred(c.load, now_s)]
    barred.sort(key=lambda c: c.load.failure_count)
    return healthy + barred[: least_count - len(healthy)]


def _is_barred(load: loads.TargetLoad, now_s: float) -> bool:
    if load.failure_count < FAILURE_LIMIT:
        return False
    return load.ejected_until_s > now_s or load.unanswered_count > 0
