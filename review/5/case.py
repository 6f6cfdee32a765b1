"""A target starts again under its name; flows from before its first heartbeat are reset."""

import asyncio

from standins import deployment, flows

PORT = 8080
SERVICE = "carne-api"
FLOW_COUNT = 8
# The target is down for this long, and its first heartbeat comes this long after its start.
DOWN_S, FIRST_HEARTBEAT_S = 0.3, 0.8
# Until the target counts as undisturbed again, and a little longer.
CALM_S = deployment.BOUNDS["contact_window_ms"] / 1000 + 1.5


def _build() -> deployment.Deployment:
    return deployment.Deployment(controls=3, entries=1)


def _target(site: deployment.Deployment, number: int, identity: str = "") -> flows.Target:
    zone = f"zone-{'abc'[number - 1]}"
    return flows.Target(site=site, number=number, service=SERVICE, zone=zone, identity=identity)


async def _case(site: deployment.Deployment) -> bool:
    targets = [_target(site, number) for number in (1, 2, 3)]
    routes = {PORT: ("safe", SERVICE)}
    await flows.start(site, deployment.manifest(1, routes, (SERVICE,)), targets)
    callers = flows.Callers(site, "e1")

    if site.has_trouble:
        site.note(f"{targets[0].identity} crashes")
        targets[0].close()
        await asyncio.sleep(DOWN_S)
        targets[0] = _target(site, 1, targets[0].identity)
        targets[0].start(FIRST_HEARTBEAT_S)
        site.note(f"{targets[0].identity} has started again")
    opened = [callers.flow(PORT) for _ in range(FLOW_COUNT)]
    for flow in opened:
        if await flow.open() != "open":
            raise deployment.CaseError("a flow did not open")
        if await flow.request(f"first-{flow.own[1]}", 0.02) != "served":
            raise deployment.CaseError("the first request was not served")
    kept = [flow for flow in opened if flow.own in targets[0].flows]
    if not kept:
        raise deployment.CaseError("no flow went to the target")
    site.note(f"{targets[0].identity} holds {len(kept)} flows")
    await asyncio.sleep(FIRST_HEARTBEAT_S + CALM_S)

    # A datagram is lost now and then: here a single one, the first copy of a request.
    lost: list[flows.Packet] = []

    def loses(packet: flows.Packet) -> bool:
        is_first = bool(packet.data) and not lost
        if is_first:
            lost.append(packet)
        return is_first

    targets[0].loses = loses
    outcomes = await asyncio.gather(*(f.request(f"second-{f.own[1]}", 0.02) for f in opened))
    site.note(f"outcomes: {', '.join(outcomes)}")
    entry = site.host("e1")
    resets = [flow for flow in kept if flow.outcome == "reset" and flow.reset_by == entry]
    for flow in resets:
        site.note(f"open flow {flow.own[1]} was reset by e1 while its target lived")
    return not resets


if __name__ == "__main__":
    deployment.play(_build, _case)
