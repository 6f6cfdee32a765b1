"""The late last word of an earlier lifetime ends a living target, and its open flows are reset."""

import asyncio

from standins import deployment, flows

PORT = 8080
SERVICE = "carne-api"
TARGET_COUNT = 7
# At least so many flows are opened, and more until two are at the target.
FLOW_COUNT, MOST_FLOWS = 6, 40
# The link heals this long after the target has started again.
HEALS_S = 1.0
# Until the target counts as undisturbed again, and a little longer.
CALM_S = deployment.BOUNDS["contact_window_ms"] / 1000 + 1.0


def _build() -> deployment.Deployment:
    return deployment.Deployment(controls=3, entries=1)


def _target(
    site: deployment.Deployment, number: int, identity: str = "", control: int = 0
) -> flows.Target:
    return flows.Target(
        site=site,
        number=number,
        service=SERVICE,
        zone=f"zone-{'abcd'[number % 4]}",
        identity=identity,
        control=control,
    )


async def _open(callers: flows.Callers, target: flows.Target) -> list[flows.Flow]:
    opened: list[flows.Flow] = []
    while len(opened) < MOST_FLOWS and (len(opened) < FLOW_COUNT or len(target.flows) < 2):
        opened.append(callers.flow(PORT))
        if await opened[-1].open() != "open":
            raise deployment.CaseError("a flow did not open")
        if await opened[-1].request(f"first-{opened[-1].own[1]}", 0.005) != "served":
            raise deployment.CaseError("the first request was not served")
    return opened


async def _case(site: deployment.Deployment) -> bool:
    targets = [_target(site, number) for number in range(1, TARGET_COUNT + 1)]
    routes = {PORT: ("safe", SERVICE)}
    await flows.start(site, deployment.manifest(1, routes, (SERVICE,)), targets)
    callers = flows.Callers(site, "e1")

    # A planned stop and start under the same name.
    old = targets[0]
    await old.leave()
    if site.has_trouble:
        await old.cut("c1")
    await old.end()
    target = targets[0] = _target(site, 1, old.identity, control=1)
    target.start()
    site.note(f"{target.identity} has started again")
    # The heartbeat is acknowledged and known everywhere.
    await asyncio.sleep(HEALS_S)
    opened = await _open(callers, target)
    kept = [flow for flow in opened if flow.own in target.flows]
    if not kept:
        raise deployment.CaseError("no flow went to the target")
    site.note(f"{target.identity} holds {len(kept)} flows")
    if site.has_trouble:
        old.heal("c1")
    await asyncio.sleep(CALM_S)

    # A datagram is lost now and then: here a single one, the first copy of a request.
    lost: list[flows.Packet] = []

    def loses(packet: flows.Packet) -> bool:
        is_first = bool(packet.data) and not lost
        if is_first:
            lost.append(packet)
        return is_first

    target.loses = loses
    outcomes = await asyncio.gather(*(f.request(f"second-{f.own[1]}", 0.02) for f in opened))
    site.note(f"outcomes: {', '.join(outcomes)}")
    entry = site.host("e1")
    resets = [flow for flow in kept if flow.outcome == "reset" and flow.reset_by == entry]
    for flow in resets:
        site.note(f"open flow {flow.own[1]} was reset by e1 while its target lived")

    # What else it does: the target gets no new flows.
    await asyncio.sleep(8.0)
    before = len(target.flows)
    for _ in range(3 * TARGET_COUNT):
        flow = callers.flow(PORT)
        await flow.open()
        flow.finish()
    count = len(target.flows) - before
    site.note(f"{count} of {3 * TARGET_COUNT} new flows went to {target.identity}, 14 s later")
    return not resets


if __name__ == "__main__":
    deployment.play(_build, _case)
