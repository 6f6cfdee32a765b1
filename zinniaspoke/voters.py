"""Plans membership changes: new learners, promotion of learners, replacement of failed voters."""

from collections.abc import Iterable, Mapping, Sequence

import attrs

# A voter that has not replied for this long is replaced by a caught-up learner. This is twice the
# longest election timeout, so that a change of leaders alone never replaces a voter.
VOTER_REPLACE_AFTER_S = 2.0
# A learner that has not replied for this long is removed; it sends a join request when it is back.
LEARNER_REMOVE_AFTER_S = 30.0


@attrs.frozen(kw_only=True)
class MemberHealth:
    """Health of another member, as the leader sees it.

    Attributes:
        silent_s: Time since its last reply.
        is_live: Whether it replied within the longest election timeout.
        is_caught_up: Whether it holds all committed entries.
    """

    silent_s: float
    is_live: bool
    is_caught_up: bool


@attrs.frozen(kw_only=True)
class ReplicaSet:
    """The members that replicate the log, as NAME/IDENTITY.

    Attributes:
        voters: Members that count towards majorities.
        learners: Members that receive the log but do not count towards majorities.
    """

    voters: tuple[str, ...]
    learners: tuple[str, ...] = ()


def name_of(member: str) -> str:
    """Returns the name part of a member, without its identity.

    Args:
        member: The member as NAME/IDENTITY.
    """
    return member.partition("/")[0]


class ReconfigurationPlanner:
    """Plans changes of the replica set, each of which adds or removes at most one voter.

    The leader proposes a change only once the previous one is committed.
    """

    def __init__(self, *, leader: str, voter_count: int) -> None:
        """Initializes the planner.

        Args:
            leader: The leader, which is never demoted.
            voter_count: Wanted number of voters.
        """
        self._leader = leader
        self._voter_count = voter_count

    def next_change(
        self,
        current: ReplicaSet,
        health: Mapping[str, MemberHealth],
        pending_joins: Iterable[str],
    ) -> ReplicaSet | None:
        """Returns the replica set to propose, or None if no change is needed.

        A replacement is promoted before the failed voter is demoted, so that a committed entry is
        never on fewer disks than the wanted number of voters calls for.

        Args:
            current: The committed replica set.
            health: Health of the other members.
            pending_joins: Replicas that have asked to join.
        """
        known = (*current.voters, *current.learners)
        for joining_member in pending_joins:
            if joining_member not in known:
                return self._add_learner(current, joining_member)
        return (
            self._promote(current, health)
            or self._demote(current, health)
            or self._remove_silent_learners(current, health)
        )

    @staticmethod
    def _add_learner(current: ReplicaSet, joining_member: str) -> ReplicaSet:
        name = name_of(joining_member)
        kept = tuple(m for m in current.learners if name_of(m) != name)
        return ReplicaSet(voters=current.voters, learners=(*kept, joining_member))

    def _failed_voters(self, current: ReplicaSet, health: Mapping[str, MemberHealth]) -> list[str]:
        """Returns the voters that are silent, or whose name a replica with a new disk has taken."""
        return [
            voter
            for voter in current.voters
            if voter != self._leader
            and (
                self._is_replaced(voter, (*current.voters, *current.learners))
                or voter not in health
                or health[voter].silent_s > VOTER_REPLACE_AFTER_S
            )
        ]

    @staticmethod
    def _is_replaced(voter: str, members: Sequence[str]) -> bool:
        """Whether a later member has the voter's name.

        An identity is generated for an empty data folder, so the later member has a new disk and
        the earlier voter no longer exists.
        """
        later = members[members.index(voter) + 1 :]
        return any(name_of(member) == name_of(voter) for member in later)

    def _promote(
        self, current: ReplicaSet, health: Mapping[str, MemberHealth]
    ) -> ReplicaSet | None:
        failed = self._failed_voters(current, health)
        voters = current.voters
        if len(voters) > self._voter_count or len(voters) - len(failed) >= self._voter_count:
            return None
        failed_names = {name_of(voter) for voter in failed}
        ready = [
            learner
            for learner in current.learners
            if learner in health and health[learner].is_live and health[learner].is_caught_up
        ]
        if not ready:
            return None
        chosen = max(ready, key=lambda learner: name_of(learner) in failed_names)
        kept = tuple(m for m in current.learners if m != chosen)
        return ReplicaSet(voters=(*voters, chosen), learners=kept)

    def _demote(self, current: ReplicaSet, health: Mapping[str, MemberHealth]) -> ReplicaSet | None:
        if len(current.voters) <= self._voter_count:
            return None
        failed = self._failed_voters(current, health)
        spare = [voter for voter in current.voters if voter != self._leader]
        chosen = (failed or spare)[0]
        members = (*current.voters, *current.learners)
        voters = tuple(voter for voter in current.voters if voter != chosen)
        if self._is_replaced(chosen, members):
            return ReplicaSet(voters=voters, learners=current.learners)
        return ReplicaSet(voters=voters, learners=(*current.learners, chosen))

    @staticmethod
    def _remove_silent_learners(
        current: ReplicaSet, health: Mapping[str, MemberHealth]
    ) -> ReplicaSet | None:
        kept = tuple(
            m
            for m in current.learners
            if m in health and health[m].silent_s <= LEARNER_REMOVE_AFTER_S
        )
        if kept == current.learners:
            return None
        return ReplicaSet(voters=current.voters, learners=kept)
