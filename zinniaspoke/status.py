"""What an entry VM says of itself: members, targets, loads, and single flows."""

import ipaddress

import attrs

from zinniaspoke import entry, errors, packets, targets


@attrs.frozen(kw_only=True)
class MemberStatus:
    """A sibling as an entry VM sees it.

    Attributes:
        name: Its name.
        zone: Its availability zone.
        state: What it says of itself.
        rule_number: Rule number that it has in force.
        heard_ago_s: Seconds since it was last heard; -1 for never.
        is_reachable: Whether it is heard and hears this VM.
    """

    name: str
    zone: str
    state: str
    rule_number: int
    heard_ago_s: float
    is_reachable: bool


@attrs.frozen(kw_only=True)
class TargetStatus:
    """A target as an entry VM sees it.

    Attributes:
        name: Service, address and incarnation.
        service: Its service.
        zone: Its availability zone.
        state: ``ready``, ``draining``, ``drained by operator``, ``zone evacuated``,
            ``lapsed`` or ``replaced``.
        lease_left_s: Seconds until its lease lapses.
        is_placed_here: Whether this VM is the placer, so that the counts are exact.
        short_count: Open flows of short work.
        long_count: Open flows of long work.
        ejection: Why it gets no new work for a while, or empty.
    """

    name: str
    service: str
    zone: str
    state: str
    lease_left_s: float
    is_placed_here: bool
    short_count: int
    long_count: int
    ejection: str


@attrs.frozen(kw_only=True)
class EntryStatus:
    """One entry VM.

    Attributes:
        name: Its name.
        zone: Its availability zone.
        state: ``joining``, ``serving`` or ``leaving``.
        rule_number: Rule number in force.
        flow_count: Flows for which it is home.
        witness_count: Witnesses that it keeps.
        waiting_count: Openings that wait for a slot here.
        members: Its siblings.
        targets: The targets.
    """

    name: str
    zone: str
    state: str
    rule_number: int
    flow_count: int
    witness_count: int
    waiting_count: int
    members: list[MemberStatus]
    targets: list[TargetStatus]


@attrs.frozen(kw_only=True)
class FlowStatus:
    """What one entry VM knows of a flow.

    Attributes:
        vm: The entry VM.
        home: Name of the flow's home in its view.
        placer: Name of the service's placer in its view, or empty.
        record: Target and stage if it holds the record, or empty.
        placement: Target and age if it placed the flow, or empty.
        witness: Target and age of its witness, or empty.
        base: The base target, or why there is none.
        reason: Why the flow's target is what it is, as far as this VM knows.
    """

    vm: str
    home: str
    placer: str
    record: str
    placement: str
    witness: str
    base: str
    reason: str


def describe(core: entry.Entry, now_s: float) -> EntryStatus:
    """Describes an entry VM.

    Args:
        core: Its core.
        now_s: Current time.

    Returns:
        The description.
    """
    own = core.members.own
    return EntryStatus(
        name=own.name,
        zone=own.zone,
        state=own.state.name.lower(),
        rule_number=core.book.number,
        flow_count=len(core.records),
        witness_count=len(core.witnesses),
        waiting_count=core.placer.waiting_count,
        members=_members(core, now_s),
        targets=[_target(core, state, now_s) for state in core.table.states.values()],
    )


def _members(core: entry.Entry, now_s: float) -> list[MemberStatus]:
    reachable = set(core.members.reachable_ids)
    return [
        MemberStatus(
            name=member.name,
            zone=member.zone,
            state=member.state.name.lower(),
            rule_number=member.rule_number,
            heard_ago_s=round(now_s - member.heard_s, 3) if member.heard_s >= 0 else -1.0,
            is_reachable=member.id in reachable,
        )
        for member in core.members.members.values()
        if member is not core.members.own
    ]


def _target(core: entry.Entry, state: targets.TargetState, now_s: float) -> TargetStatus:
    load = core.placer.load_of(state.target)
    left_s = load.ejected_until_s - now_s
    ejection = f"{load.failure_count} openings failed, {left_s:.1f} s left" if left_s > 0 else ""
    placer_id = core.members.placer_id(state.target.service.encode())
    return TargetStatus(
        name=state.target.name,
        service=state.target.service,
        zone=state.target.zone,
        state=_state_word(state, now_s),
        lease_left_s=round(state.lease_s - (now_s - state.renewed_s), 3),
        is_placed_here=placer_id == core.members.own.id,
        short_count=load.short_count,
        long_count=load.long_count,
        ejection=ejection,
    )


def _state_word(state: targets.TargetState, now_s: float) -> str:
    if state.is_replaced:
        return "replaced"
    if state.is_held:
        return "drained by operator"
    if state.is_evacuated:
        return "zone evacuated"
    if state.is_draining:
        return "draining"
    return "ready" if state.accepts_new_flows(now_s) else "lapsed"


def parse_flow(text: str) -> bytes:
    """Reads a flow as people write it.

    Args:
        text: ``PROTOCOL CALLER:PORT SERVICE:PORT``, such as
            ``tcp 100.64.0.1:20000 10.20.0.1:8443``.

    Returns:
        The flow's key.

    Raises:
        errors.SettingsError: It is not such a text.
    """
    words = text.replace(",", " ").split()
    protocols = {"tcp": packets.TCP, "udp": packets.UDP}
    try:
        protocol = protocols[words[0].lower()]
        caller, service = (_endpoint(word) for word in words[1:])
    except (KeyError, ValueError, IndexError):
        reason = "expected: tcp|udp CALLER:PORT SERVICE:PORT"
        raise errors.SettingsError(step="read flow", peer=text, reason=reason) from None
    return protocol.to_bytes(1, "big") + caller + service


def _endpoint(word: str) -> bytes:
    host, _, port = word.rpartition(":")
    return ipaddress.ip_address(host.strip("[]")).packed + int(port).to_bytes(2, "big")


def explain(core: entry.Entry, flow: bytes, now_s: float) -> FlowStatus:
    """Tells what an entry VM knows of a flow.

    Args:
        core: The VM's core.
        flow: The flow's key.
        now_s: Current time.

    Returns:
        What it knows.
    """
    size = (len(flow) - 5) // 2
    rule = core.book.find(flow[0], flow[3 + size : 3 + 2 * size], flow[3 + 2 * size :])
    record = core.records.get(flow)
    placed = core.placer.get(flow)
    witness = core.witnesses.get(flow, now_s)
    base = rule and core.table.base_target(flow, rule.service, now_s)
    return FlowStatus(
        vm=core.members.own.name,
        home=_name(core, core.members.home_id(flow)),
        placer=_name(core, core.members.placer_id(rule.service.encode())) if rule else "",
        record=f"{record.target.name} {record.stage.name.lower()}" if record else "",
        placement=f"{placed.target.name}, {now_s - placed.opened_s:.1f} s" if placed else "",
        witness=f"{witness.target.name}, {now_s - witness.seen_s:.1f} s" if witness else "",
        base=base.name if base else base.reason,
        reason=_reason(record, base),
    )


def _name(core: entry.Entry, member_id: int) -> str:
    member = core.members.members.get(member_id)
    return member.name if member else ""


def _reason(record: object, base: object) -> str:
    if record is None:
        return ""
    if record.is_recovered:
        return "recovered from a sibling, a witness or the base target"
    if base and base.tag == record.target.tag:
        return "its first answer came from the base target"
    return "the placer chose another than the base target by load"
