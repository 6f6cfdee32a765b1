"""What the parts of an entry VM's core share."""

import attrs

from zinniaspoke import (
    counters,
    flows,
    invariants,
    levels,
    membership,
    openings,
    outbox,
    rulebook,
    targets,
)


@attrs.frozen(kw_only=True)
class CoreState:
    """The tables of an entry VM and where its parts put what they want done.

    Attributes:
        members: The view of the group.
        table: The targets.
        book: The rules in force.
        records: The home's records.
        witnesses: What was noted in passing.
        unanswered: Openings that no target has answered yet.
        out: Collects actions.
        checks: Promises to check.
        counts: Counters to raise.
        recorder: Counts service levels.
    """

    members: membership.Membership
    table: targets.TargetTable
    book: rulebook.RuleBook
    records: flows.FlowTable
    witnesses: flows.WitnessTable
    unanswered: openings.UnansweredOpenings
    out: outbox.Outbox
    checks: invariants.Invariants
    counts: counters.Counters
    recorder: levels.LevelRecorder
