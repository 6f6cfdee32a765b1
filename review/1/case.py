"""Two control VMs lead in one term, and an acknowledged manifest is not shown by all."""

import asyncio
import time

from standins import deployment, wires

A, B, C = "c1", "c2", "c3"
ALL = (A, B, C)
TRY_COUNT = 8
# The pages cut the core for this long at most.
CUT_LIMIT_S = 5.5
READ_S = 6.0


def _build() -> deployment.Deployment:
    return deployment.Deployment(controls=3, entries=0, own_peer_ports=True)


def _manifest(version: int) -> dict:
    return deployment.manifest(version, {8080: ("unsafe", "carne-api")}, ("carne-api",))


def _pairs(one: str, other: str) -> tuple[tuple[str, str], tuple[str, str]]:
    return (one, other), (other, one)


async def _put(site: deployment.Deployment, version: int, names: tuple[str, ...]) -> None:
    """Sends a manifest to some VMs in turn until one acknowledges it."""
    until_s = time.monotonic() + 8.0
    while time.monotonic() < until_s:
        for name in names:
            if await site.put(name, _manifest(version)) == 200:
                return
        await asyncio.sleep(0.1)
    raise deployment.CaseError(f"version {version} is not acknowledged")


async def _split_votes(site: deployment.Deployment, links: wires.Wires, version: int) -> int | None:
    """Plays the disruption once.

    Returns:
        The highest acknowledged version, or None where the elections went another way.
    """
    links.longest_cut_s()
    everything = (*_pairs(A, B), *_pairs(A, C), *_pairs(B, C))
    try:
        # One control VM misses a change.
        links.cut(*_pairs(B, A), *_pairs(B, C))
        await _put(site, version, (A, C))
        # All processes of the core are killed at once and are back within a second, while the
        # links between their machines are cut.
        links.cut(*everything)
        for name in ALL:
            site.kill(name)
        # What was under way is lost with its senders.
        for pair in everything:
            links.held[pair].clear()
            links.passed[pair].clear()
        for name in ALL:
            site.start(name)
        return await _elect(site, links, version)
    except deployment.CaseError as error:
        site.note(f"the elections went another way: {error}")
        return None
    finally:
        links.heal(*everything)


async def _elect(site: deployment.Deployment, links: wires.Wires, version: int) -> int:
    def is_probe(frame: wires.Frame) -> bool:
        return frame.is_vote_request(is_probe=True)

    await deployment.wait_for("A has asked twice", lambda: links.waits((A, B), is_probe) >= 2, 3.0)
    links.heal((A, B))

    def is_pre_vote(frame: wires.Frame) -> bool:
        return frame.is_vote_reply(is_probe=True)

    def is_vote(frame: wires.Frame) -> bool:
        return frame.is_vote_reply(is_probe=False)

    await deployment.wait_for(
        "B grants two pre-votes", lambda: links.waits((B, A), is_pre_vote) >= 2, 0.5
    )
    links.advance((B, A), is_pre_vote)
    await deployment.wait_for("B votes for A", lambda: links.waits((B, A), is_vote) >= 1, 0.5)
    vote = next(frame for frame in links.held[B, A] if is_vote(frame))
    term = vote.message.term
    site.note(f"{B} has voted for {A} in term {term}; its reply is on the way")
    links.cut((A, B))
    links.heal(*_pairs(B, C))

    def leads(pair: tuple[str, str], frames: list[wires.Frame]) -> bool:
        return any(
            frame.is_body("append_request") and frame.message.term == term + 1 for frame in frames
        )

    await deployment.wait_for("C leads", lambda: leads((C, B), links.passed[C, B]), 1.0)
    site.note(f"{C} leads in term {term + 1} with the vote of {B}")
    await deployment.wait_for(
        "A asks again",
        lambda: any(is_probe(f) and f.message.term == term for f in links.held[A, B]),
        0.5,
    )
    links.advance((B, A), is_pre_vote)
    await deployment.wait_for(
        "A is a candidate in the next term",
        lambda: any(
            f.is_vote_request(is_probe=False) and f.message.term == term + 1
            for f in links.held[A, B]
        ),
        0.3,
        poll_s=0.0005,
    )
    links.advance((B, A), is_vote)
    await deployment.wait_for(
        "A leads", lambda: leads((A, B), list(links.held[A, B])), 0.3, poll_s=0.0005
    )
    site.note(f"{A} leads in term {term + 1} too, with the vote of {B} in term {term}")
    links.heal(*_pairs(A, B))
    await asyncio.sleep(0.3)
    await _put(site, version + 2, (A,))
    await _put(site, version + 5, (C,))
    longest_s = links.longest_cut_s()
    site.note(f"the longest cut took {longest_s:.2f} s")
    if longest_s > CUT_LIMIT_S:
        raise deployment.CaseError("a link was cut for too long")
    return version + 5


async def _read_back(site: deployment.Deployment, acknowledged: int) -> bool:
    """Reads at all control VMs; whether none shows an older version than acknowledged."""
    await asyncio.sleep(deployment.BOUNDS["config_apply_ms"] / 1000 + 0.5)
    until_s, is_held = time.monotonic() + READ_S, True
    read_count = 0
    while time.monotonic() < until_s:
        for name in ALL:
            version = await site.read(name)
            read_count += bool(version)
            if version and version < acknowledged:
                site.note(f"older than version {acknowledged}, which was acknowledged")
                is_held = False
        await asyncio.sleep(0.4)
    if not read_count:
        raise deployment.CaseError("no read was answered")
    return is_held


async def _case(site: deployment.Deployment) -> bool:
    links = wires.Wires(site)
    await links.open()
    for name in ALL:
        site.start(name)
    await _put(site, 1, ALL)
    version = 10
    for _ in range(TRY_COUNT):
        if site.has_trouble:
            acknowledged = await _split_votes(site, links, version)
        else:
            await _put(site, version, (A, C))
            await _put(site, version + 2, (A,))
            await _put(site, version + 5, (C,))
            acknowledged = version + 5
        if acknowledged is not None:
            return await _read_back(site, acknowledged)
        version += 10
        await asyncio.sleep(2.0)
    raise deployment.CaseError("no election went as needed")


if __name__ == "__main__":
    deployment.play(_build, _case)
