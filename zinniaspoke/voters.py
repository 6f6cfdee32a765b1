"""Which change of the replica set is due next: admission, growth, replacement of lost voters."""

from collections.abc import Iterable, Mapping, Sequence

import attrs

# A voter that is silent this long is replaced by a caught-up learner. Twice the longest election
# time-out, so that a change of leaders alone never replaces anyone.
VOTER_GONE_S = 2.0
# A learner that is silent this long is dropped; it asks to join again when it is back.
LEARNER_GONE_S = 30.0


@attrs.frozen(kw_only=True)
class Standing:
    """What the leader knows of another member.

    Attributes:
        silent_s: Time since its last answer.
        is_live: Whether it answered within an election time-out.
        is_caught_up: Whether it holds everything that is committed.
    """

    silent_s: float
    is_live: bool
    is_caught_up: bool


@attrs.frozen(kw_only=True)
class Members:
    """A replica set.

    Attributes:
        voters: Members that count for majorities, as NAME/IDENTITY.
        learners: Members that only receive the log.
    """

    voters: tuple[str, ...]
    learners: tuple[str, ...] = ()


def name_of(member: str) -> str:
    """Returns the name in NAME/IDENTITY.

    Args:
        member: The member.
    """
    return member.partition("/")[0]


class Repair:
    """Decides single changes of a replica set; at most one is under way at a time."""

    def __init__(self, *, own: str, voter_count: int) -> None:
        """Sets the bounds.

        Args:
            own: The leader.
            voter_count: Voters that the set should have.
        """
        self._own = own
        self._voter_count = voter_count

    def next_change(
        self,
        current: Members,
        standings: Mapping[str, Standing],
        applicants: Iterable[str],
    ) -> Members | None:
        """Returns the set to propose, or None where nothing is due.

        A voter is added before a lost one is removed, so that a committed entry is never on fewer
        disks than the set promises.

        Args:
            current: The set in force, committed.
            standings: What is known of the other members.
            applicants: Members that asked to be admitted.
        """
        known = (*current.voters, *current.learners)
        for applicant in applicants:
            if applicant not in known:
                return self._admit(current, applicant)
        return (
            self._promote(current, standings)
            or self._demote(current, standings)
            or self._drop(current, standings)
        )

    @staticmethod
    def _admit(current: Members, applicant: str) -> Members:
        name = name_of(applicant)
        kept = tuple(m for m in current.learners if name_of(m) != name)
        return Members(voters=current.voters, learners=(*kept, applicant))

    def _lost(self, current: Members, standings: Mapping[str, Standing]) -> list[str]:
        """Voters that are silent, or whose address now belongs to a replica with a new disk."""
        return [
            voter
            for voter in current.voters
            if voter != self._own
            and (
                self._is_superseded(voter, (*current.voters, *current.learners))
                or voter not in standings
                or standings[voter].silent_s > VOTER_GONE_S
            )
        ]

    @staticmethod
    def _is_superseded(voter: str, members: Sequence[str]) -> bool:
        """An identity is made with an empty folder, so a later member of the name replaced it."""
        later = members[members.index(voter) + 1 :]
        return any(name_of(member) == name_of(voter) for member in later)

    def _promote(self, current: Members, standings: Mapping[str, Standing]) -> Members | None:
        lost = self._lost(current, standings)
        voters = current.voters
        if len(voters) > self._voter_count or len(voters) - len(lost) >= self._voter_count:
            return None
        lost_names = {name_of(voter) for voter in lost}
        ready = [
            learner
            for learner in current.learners
            if learner in standings
            and standings[learner].is_live
            and standings[learner].is_caught_up
        ]
        if not ready:
            return None
        chosen = max(ready, key=lambda learner: name_of(learner) in lost_names)
        kept = tuple(m for m in current.learners if m != chosen)
        return Members(voters=(*voters, chosen), learners=kept)

    def _demote(self, current: Members, standings: Mapping[str, Standing]) -> Members | None:
        if len(current.voters) <= self._voter_count:
            return None
        lost = self._lost(current, standings)
        spare = [voter for voter in current.voters if voter != self._own]
        chosen = (lost or spare)[0]
        members = (*current.voters, *current.learners)
        voters = tuple(voter for voter in current.voters if voter != chosen)
        if self._is_superseded(chosen, members):
            return Members(voters=voters, learners=current.learners)
        return Members(voters=voters, learners=(*current.learners, chosen))

    @staticmethod
    def _drop(current: Members, standings: Mapping[str, Standing]) -> Members | None:
        kept = tuple(
            m
            for m in current.learners
            if m in standings and standings[m].silent_s <= LEARNER_GONE_S
        )
        if kept == current.learners:
            return None
        return Members(voters=current.voters, learners=kept)
