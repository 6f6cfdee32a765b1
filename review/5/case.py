"""A target starts again under its name; flows from before its first heartbeat are reset."""

import asyncio
import signal

from standins import deployment, flows

PORT = 8080
SERVICE = "carne-api"
TARGET_COUNT = 7
# At least so many flows are opened, and more until one is at the target.
FLOW_COUNT, MOST_FLOWS = 6, 50
# The target is down for this long; the control VM that it calls first stands still for this long.
DOWN_S, FROZEN_S = 0.3, 2.0
# Until all machines are in touch again, and a little longer.
CALM_S = deployment.BOUNDS["contact_window_ms"] / 1000 + 1.0


def _build() -> deployment.Deployment:
    return deployment.Deployment(controls=3, entries=1)


def _target(site: deployment.Deployment, number: int, identity: str = "") -> flows.Target:
    zone = f"zone-{'abcd'[number % 4]}"
    return flows.Target(site=site, number=number, service=SERVICE, zone=zone, identity=identity)


async def _case(site: deployment.Deployment) -> bool:
    targets = [_target(site, number) for number in range(1, TARGET_COUNT + 1)]
    routes = {PORT: ("safe", SERVICE)}
    await flows.start(site, deployment.manifest(1, routes, (SERVICE,)), targets)
    callers = flows.Callers(site, "e1")

    if site.has_trouble:
        site.send("c1", signal.SIGSTOP)
        site.note(f"{targets[0].identity} crashes")
        targets[0].close()
        await asyncio.sleep(DOWN_S)
        targets[0] = _target(site, 1, targets[0].identity)
        targets[0].start()
        site.note(f"{targets[0].identity} has started again and sends its first heartbeat to c1")
    opened: list[flows.Flow] = []
    while len(opened) < MOST_FLOWS and (len(opened) < FLOW_COUNT or not targets[0].flows):
        opened.append(callers.flow(PORT))
        if await opened[-1].open() != "open":
            raise deployment.CaseError("a flow did not open")
        if await opened[-1].request(f"first-{opened[-1].own[1]}", 0.01) != "served":
            raise deployment.CaseError("the first request was not served")
    kept = [flow for flow in opened if flow.own in targets[0].flows]
    if not kept:
        raise deployment.CaseError("no flow went to the target")
    site.note(f"{targets[0].identity} holds {len(kept)} flows")
    await asyncio.sleep(FROZEN_S)
    if site.has_trouble:
        site.send("c1", signal.SIGCONT)
    await asyncio.sleep(CALM_S)

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
