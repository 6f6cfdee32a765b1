"""State shared by the components of an entry VM's core."""

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
    """The tables of an entry VM, its outbox and its counters.

    Attributes:
        members: This VM's view of the group.
        target_table: The known targets and their leases.
        rule_book: The rules in force.
        flow_table: Records of the flows whose home is this VM.
        witnesses: Targets of flows whose home is another VM.
        unanswered: Opening packets that no target has answered yet.
        out: Outbox that collects the actions of a call of the core.
        checks: Run-time checks of invariants.
        counts: Counters for metrics.
        level_recorder: Records service levels by minute.
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
