"""A heartbeat that lacks fields ends a living target, and its open flows are reset."""

import asyncio
import json
import random
import time

from standins import deployment, flows

PORT = 8080
SERVICE = "carne-api"
TARGET_COUNT = 3
FLOW_COUNT = 6
# Requests on each flow, with pauses between them.
REQUEST_COUNT = 4
PAUSE_S = 0.6


def _build() -> deployment.Deployment:
    return deployment.Deployment(controls=3, entries=1)


async def _announce_other(site: deployment.Deployment, target: flows.Target) -> None:
    """Sends what another writer says: fields are missing, so it names no target to use."""
    identity = f"i-{random.getrandbits(31) | 1 << 31:x}"
    body = {
        "service": SERVICE,
        "address": target.address,
        "version": "v1",
        "state": "ready",
        "sequence": 1,
        "born": int(time.time() * 1000),
    }
    data = json.dumps(body).encode()
    answer = await site.call(site.controls[0], "PUT", f"/api/instances/{identity}", data)
    site.note(f"heartbeat without zone and slots at {target.address}: {answer and answer[0]}")


async def _work(flow: flows.Flow, name: str) -> str:
    """Sends requests on a flow, with pauses between them."""
    outcome = ""
    for index in range(REQUEST_COUNT):
        outcome = await flow.request(f"{name}.{index}", 0.03)
        if outcome != "served":
            break
        await asyncio.sleep(PAUSE_S)
    return outcome


async def _case(site: deployment.Deployment) -> bool:
    targets = [
        flows.Target(site=site, number=n + 1, service=SERVICE, zone=f"zone-{'abc'[n]}")
        for n in range(TARGET_COUNT)
    ]
    routes = {PORT: ("safe", SERVICE)}
    await flows.start(site, deployment.manifest(1, routes, (SERVICE,)), targets)
    callers = flows.Callers(site, "e1")
    opened = [callers.flow(PORT) for _ in range(FLOW_COUNT)]
    for flow in opened:
        if await flow.open() != "open":
            raise deployment.CaseError("a flow did not open")
        if await flow.request(f"first-{flow.own[1]}", 0.02) != "served":
            raise deployment.CaseError("the first request was not served")
    victim = next(t for t in targets if t.open_count)
    site.note(f"{victim.identity} at {victim.address} lives and holds {victim.open_count} flows")

    # A datagram is lost now and then: here a single one, the first copy of a request.
    lost: list[flows.Packet] = []

    def loses(packet: flows.Packet) -> bool:
        is_first = not lost and b".1 " in packet.data
        if is_first:
            lost.append(packet)
        return is_first

    victim.loses = loses
    if site.has_trouble:
        await _announce_other(site, victim)
    outcomes = await asyncio.gather(*(_work(f, f"job-{f.own[1]}") for f in opened))
    site.note(f"outcomes: {', '.join(outcomes)}")
    entry = site.host("e1")
    resets = [flow for flow in opened if flow.outcome == "reset" and flow.reset_by == entry]
    for flow in resets:
        site.note(f"open flow {flow.own[1]} was reset by e1 while its target lived")
    for target in targets:
        target.close()
    return not resets


if __name__ == "__main__":
    deployment.play(_build, _case)
