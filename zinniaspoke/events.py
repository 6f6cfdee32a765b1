"""The catalogue of numbered log events."""

import attrs


@attrs.frozen(kw_only=True)
class Event:
    """One kind of log event.

    Attributes:
        number: Its number, never used again for another kind.
        name: Its short name.
        meaning: What an operator reads from it.
    """

    number: int
    name: str
    meaning: str


CATALOGUE: dict[int, Event] = {}


def _define(number: int, name: str, meaning: str) -> Event:
    event = Event(number=number, name=name, meaning=meaning)
    CATALOGUE[number] = event
    return event


MEMBER_LEARNT = _define(101, "member_learnt", "An entry VM or a new incarnation of it was learnt.")
MEMBER_LOST = _define(102, "member_lost", "An entry VM is no longer heard, or does not hear us.")
MEMBER_REACHED = _define(103, "member_reached", "An entry VM is heard and hears us.")
LEAVE_STARTED = _define(104, "leave_started", "A planned leave of this entry VM started.")
LEAVE_FINISHED = _define(105, "leave_finished", "The others have acknowledged; this VM may stop.")
TARGET_ANNOUNCED = _define(201, "target_announced", "A target, or a new incarnation, is known.")
TARGET_CHANGED = _define(202, "target_changed", "A target drains or became ready.")
TARGET_FORGOTTEN = _define(203, "target_forgotten", "A target's lease lapsed long ago.")
TARGET_EJECTED = _define(204, "target_ejected", "A target gets no new work for a while.")
ANNOUNCEMENT_REFUSED = _define(205, "announcement_refused", "An announcement was not taken.")
TARGET_ENDED = _define(206, "target_ended", "A target said that it ends, or was replaced.")
TARGET_SILENT = _define(207, "target_silent", "A target's announcements have stopped.")
TARGET_SUSPECTED = _define(208, "target_suspected", "Openings at a target go unanswered.")
ZONE_SUSPECTED = _define(
    209, "zone_suspected", "No target of an availability zone answers; it gets no new flows."
)
ZONE_ANSWERS = _define(210, "zone_answers", "A target of a suspected availability zone answers.")
ZONE_EVACUATED = _define(211, "zone_evacuated", "Targets of a zone get no new flows, as ordered.")
ZONE_RETURNED = _define(212, "zone_returned", "An evacuated zone's targets get new flows again.")
TARGET_END_WITHDRAWN = _define(
    213,
    "target_end_withdrawn",
    "A target runs that counted as ended, but not by its own word; at most one for each such end.",
)
DEREGISTRATION_OUTDATED = _define(
    214,
    "deregistration_outdated",
    "A deregistration by an earlier incarnation of a target changed nothing; one for each call.",
)
VERDICT_GIVEN = _define(
    220, "verdict_given", "Several entry VMs report failures of a target; all are told."
)
VERDICT_WITHDRAWN = _define(
    221, "verdict_withdrawn", "A target answers again, or nothing more is reported of it."
)
RULES_IN_FORCE = _define(301, "rules_in_force", "A rule file is in force on this VM.")
RULES_REFUSED = _define(302, "rules_refused", "A rule file that arrived was not taken.")
RULES_UNREACHABLE = _define(303, "rules_unreachable", "No control replica answered a poll.")
RULES_OLD = _define(304, "rules_old", "No followed control VM hears a leader.")
LINK_OPENED = _define(310, "link_opened", "A connection to a control VM is open.")
LINK_LOST = _define(311, "link_lost", "A connection to a control VM could not be opened.")
TABLE_COMPLETE = _define(312, "table_complete", "This process knows all targets that others know.")
READY = _define(313, "ready", "This entry VM takes packets.")
NOT_READY = _define(314, "not_ready", "This entry VM asks for no more packets.")
STOP_OUT_OF_TURN = _define(
    315, "stop_out_of_turn", "An entry VM ends though too few of its zone stay in rotation."
)
SHARES_OPEN = _define(
    320, "shares_open", "This control VM leads and gives shares of the limits of cold targets."
)
SHARES_CLOSED = _define(321, "shares_closed", "This control VM gives no more shares.")
DATAGRAM_REFUSED = _define(401, "datagram_refused", "A control datagram was dropped.")
FLOW_RESET = _define(402, "flow_reset", "An open flow was reset; the outcome is unknown.")
FLOW_REFUSED = _define(403, "flow_refused", "An opening was refused; nothing of it was run.")
INVARIANT_BROKEN = _define(901, "invariant_broken", "A promise of the program did not hold.")
REPLICA_ROLE = _define(501, "replica_role", "A control replica became leader or follower.")
REPLICA_RECOVERED = _define(502, "replica_recovered", "A control replica read back its state.")
RULE_FILE_ACCEPTED = _define(503, "rule_file_accepted", "A rule file was accepted.")
RULE_FILE_REJECTED = _define(504, "rule_file_rejected", "A submitted rule file was not accepted.")
CALL_ANSWERED = _define(505, "call_answered", "An operator's call was answered.")
DISK_FAILED = _define(506, "disk_failed", "The disk refused a write; this replica does not count.")
SET_CHANGED = _define(507, "set_changed", "The set of replicas that agree has changed.")
REPLICA_REFUSED = _define(508, "replica_refused", "A replica of an older version may not join.")
ZONE_ORDER_ACCEPTED = _define(509, "zone_order_accepted", "A zone order was committed.")
ZONE_ORDER_REJECTED = _define(510, "zone_order_rejected", "A zone order got no yes.")
REPLICA_MESSAGE_OUTDATED = _define(
    511,
    "replica_message_outdated",
    "A late message of an earlier term was dropped; at most one of each sender and kind is logged "
    "in a term.",
)
FLOW_OPENED = _define(404, "flow_opened", "An opening was sent on, with what decided it.")
FLOW_DROPPED = _define(405, "flow_dropped", "A packet was dropped, since its target is not known.")
FLOW_WAITS = _define(
    406, "flow_waits", "An opening waits for a free place at a target, or for room on the link."
)
LINK_OVERLOADED = _define(
    407, "link_overloaded", "Packets were dropped that this VM's link could not carry in time."
)
FLOW_HEDGED = _define(
    408, "flow_hedged", "An opening that was not answered in time was sent to a second target."
)
LINK_SHARED = _define(
    409, "link_shared", "Bulk work waits for this VM's link; what was sent of bulk and of the rest."
)
SETTINGS_CHANGED = _define(4, "settings_changed", "The settings file changed and was read again.")
SETTINGS_REFUSED = _define(6, "settings_refused", "Changed settings cannot be used; the old stay.")
METRICS_UNSERVED = _define(5, "metrics_unserved", "The metrics address could not be opened.")
PROCESS_STARTED = _define(1, "process_started", "A process opened its sockets.")
PROCESS_STOPPED = _define(2, "process_stopped", "A process closed its sockets.")
PROCESS_FAILED = _define(3, "process_failed", "A process could not go on.")
