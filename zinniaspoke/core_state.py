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
        target_table: The targets.
        rule_book: The rules in force.
        flow_table: The home's records.
        witnesses: What was noted in passing.
        unanswered: Openings that no target has answered yet.
        out: Collects actions.
        checks: Promises to check.
        counts: Counters to raise.
        level_recorder: Counts service levels.
    """

    members: membership.Membership
    target_table: targets.TargetTable
    rule_book: rulebook.RuleBook
    flow_table: flows.FlowTable
    witnesses: flows.WitnessTable
    unanswered: openings.UnansweredOpenings
    out: outbox.Outbox
    checks: invariants.Invariants
    counts: counters.Counters
    level_recorder: levels.LevelRecorder
