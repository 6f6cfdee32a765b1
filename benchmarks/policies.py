"""Placement policies on the same scripted work: python -m benchmarks.policies."""

import argparse
import concurrent.futures
import heapq
import itertools
import random
import statistics
from collections import deque
from collections.abc import Sequence

import attrs
import tabulate

from benchmarks import deployment
from zinniaspoke import placement

DEPLOYMENTS = {
    "Vasconcelos": {"carne-api": 7, "extrato-svc": 4},
    "Fuentes Andinas": {"despacho": 7, "archivo-planos": 4},
}
SLOT_COUNT = 2
MEAN_WORK_S = 0.05
STRAGGLER_SHARE = 0.004
STRAGGLER_FACTOR = 60.0
KNOWN_SHARE = 0.75
LOW_LOAD = 0.09
CREST_LOAD = 0.9
PERIOD_S = 10.0
RAMP_S = 1.0
CREST_S = 4.0
RUN_S = 60.0
FINISH_S = 25.0
SLICE_S = 0.01
COLD_S = 3.0
COLD_SLOWNESS = 2.0
STALL_S = 2.0
VARIANTS = ("plain", "left out", "cut up", "targets at fault", "placer killed")
PIECE_SPREAD_S = 1.0


@attrs.frozen(kw_only=True)
class Job:
    """One piece of work.

    Attributes:
        at_s: When its caller opens a flow, from the run's start.
        service: Its service.
        work_s: Its work.
        is_straggler: Whether it runs many times longer than the rest.
        is_known: Whether it goes to the address of the class long.
    """

    at_s: float
    service: str
    work_s: float
    is_straggler: bool
    is_known: bool


def load_at(at_s: float) -> float:
    """Returns the share of all slots that the work asks for at a time.

    Args:
        at_s: Seconds from the run's start.
    """
    phase_s = at_s % PERIOD_S
    rise = min(1.0, max(0.0, (phase_s - 3.0) / RAMP_S))
    fall = min(1.0, max(0.0, (phase_s - 3.0 - RAMP_S - CREST_S) / RAMP_S))
    return LOW_LOAD + (CREST_LOAD - LOW_LOAD) * (rise - fall)


def is_crest(at_s: float) -> bool:
    """Tells whether a time is within a crest.

    Args:
        at_s: Seconds from the run's start.
    """
    return load_at(at_s) > 0.99 * CREST_LOAD


def make_jobs(service: str, host_count: int, seed: int) -> list[Job]:
    """Draws the work of one service.

    Args:
        service: Its name.
        host_count: Its targets.
        seed: Seed of the draw.

    Returns:
        The jobs in the order of their times.
    """
    rng = random.Random(f"{service}/{seed}")
    short_mean_s = MEAN_WORK_S / (1 - STRAGGLER_SHARE + STRAGGLER_SHARE * STRAGGLER_FACTOR)
    rate = host_count * SLOT_COUNT / MEAN_WORK_S
    jobs = []
    at_s = 0.0
    while at_s < RUN_S:
        at_s += rng.expovariate(rate * CREST_LOAD)
        if rng.random() * CREST_LOAD > load_at(at_s):
            continue
        is_straggler = rng.random() < STRAGGLER_SHARE
        work_s = rng.expovariate(1 / short_mean_s)
        if is_straggler:
            work_s = STRAGGLER_FACTOR * short_mean_s * rng.uniform(0.75, 1.25)
        is_known = is_straggler and rng.random() < KNOWN_SHARE
        jobs.append(
            Job(
                at_s=at_s,
                service=service,
                work_s=work_s,
                is_straggler=is_straggler,
                is_known=is_known,
            )
        )
    return jobs


def without_stragglers(jobs: Sequence[Job]) -> list[Job]:
    """Returns the same arrivals with stragglers left out.

    Args:
        jobs: The jobs.
    """
    return [job for job in jobs if not job.is_straggler]


def cut_up(jobs: Sequence[Job]) -> list[Job]:
    """Returns the same load with each straggler cut into pieces as long as short work.

    Args:
        jobs: The jobs.
    """
    rng = random.Random(len(jobs))
    short_mean_s = statistics.mean(job.work_s for job in jobs if not job.is_straggler)
    found = without_stragglers(jobs)
    for job in jobs:
        left_s = job.work_s if job.is_straggler else 0.0
        while left_s > 0.0:
            work_s = min(left_s, rng.expovariate(1 / short_mean_s))
            left_s -= work_s
            at_s = job.at_s + rng.uniform(0.0, PIECE_SPREAD_S)
            piece = attrs.evolve(job, at_s=at_s, work_s=work_s, is_straggler=False, is_known=False)
            found.append(piece)
    return sorted(found, key=lambda job: job.at_s)


def ideal_times(jobs: Sequence[Job], slot_count: int, reserved: int) -> list[float]:
    """Runs the jobs through one central queue that knows every slot and every job's length.

    Args:
        jobs: The jobs of one service in the order of their times.
        slot_count: Slots of the service.
        reserved: Slots kept from stragglers; 0 for plain first come, first served.

    Returns:
        Response time of each job.
    """
    finish: list[tuple[float, int]] = []
    queues: tuple[deque[int], deque[int]] = (deque(), deque())
    times = [0.0] * len(jobs)
    long_running = 0
    arrivals = iter(enumerate(jobs))
    upcoming = next(arrivals, None)
    now_s = 0.0
    while upcoming is not None or finish:
        if upcoming is not None and (not finish or upcoming[1].at_s <= finish[0][0]):
            index, job = upcoming
            now_s = job.at_s
            queues[1 if reserved and job.is_straggler else 0].append(index)
            upcoming = next(arrivals, None)
        else:
            now_s, index = heapq.heappop(finish)
            long_running -= bool(reserved) and jobs[index].is_straggler
        while len(finish) < slot_count:
            if queues[0]:
                index = queues[0].popleft()
            elif queues[1] and long_running < slot_count - reserved:
                index = queues[1].popleft()
                long_running += 1
            else:
                break
            end_s = now_s + jobs[index].work_s
            times[index] = end_s - jobs[index].at_s
            heapq.heappush(finish, (end_s, index))
    return times


@attrs.frozen(kw_only=True)
class Run:
    """What one run measured.

    Attributes:
        broken: Flows that lost their answer after the handshake.
        refused: Openings refused.
        retries: Openings tried on another target.
        flow_count: Flows opened.
        crest_s: Response times of short work opened at a crest, by service.
        floor_s: Time that the network alone takes.
        imbalance: Largest over mean seconds of work placed, the worst service.
        control_bytes_per_s: Of the busiest VM.
    """

    broken: int
    refused: int
    retries: int
    flow_count: int
    crest_s: dict[str, list[float]]
    floor_s: float
    imbalance: float
    control_bytes_per_s: float


def measure(policy: str, name: str, variant: str, seed: int) -> Run:
    """Runs one policy.

    Args:
        policy: Its name.
        name: The deployment.
        variant: One of ``VARIANTS``.
        seed: Seed of the work and of the run.

    Returns:
        The measurement.
    """
    host_counts = DEPLOYMENTS[name]
    dep = deployment.Deployment(
        seed=seed, host_counts=host_counts, slot_count=SLOT_COUNT, policy=policy
    )
    dep.run_for(5.0)
    start_s = dep.net.loop.time()
    for service, host_count in host_counts.items():
        jobs = make_jobs(service, host_count, seed)
        if variant == "left out":
            jobs = without_stragglers(jobs)
        elif variant == "cut up":
            jobs = cut_up(jobs)
        for job in jobs:
            dep.net.loop.call_later(job.at_s, _open, dep, job)
    _schedule_changes(dep, list(host_counts), variant)
    sent = [core.counts.control_bytes_sent for core in dep.cores()]
    dep.run_for(RUN_S)
    rates = [
        (core.counts.control_bytes_sent - old) / RUN_S
        for core, old in zip(dep.cores(), sent, strict=False)
    ]
    dep.run_for(FINISH_S)
    return _summarise(dep, start_s, max(rates))


def _open(dep: deployment.Deployment, job: Job) -> None:
    chunk_count = max(1, int(job.work_s / 0.1))
    dep.net.callers.open(
        rule=dep.rules[job.service, job.is_known],
        kind="long" if job.is_straggler else "short",
        request_count=1,
        work_s=job.work_s,
        chunk_count=chunk_count,
    )


def _schedule_changes(dep: deployment.Deployment, services: list[str], variant: str) -> None:
    """A replacement that starts cold and a stall, or the placer's death, at crests."""
    loop = dep.net.loop
    if variant == "targets at fault":
        loop.call_later(14.5, dep.net.drain_target, "127.0.10.2")
        loop.call_later(15.0, _replace_cold, dep, services[0], "127.0.10.2")
        loop.call_later(35.0, _stall, dep, "127.0.10.3", True)
        loop.call_later(35.0 + STALL_S, _stall, dep, "127.0.10.3", False)
    if variant == "placer killed":
        loop.call_later(45.5, _kill_placer, dep, services[0])


def _replace_cold(dep: deployment.Deployment, service: str, address: str) -> None:
    if dep.net.hosts[address].process.open_count:
        dep.net.loop.call_later(0.5, _replace_cold, dep, service, address)
        return
    host = dep.net.add_target(service, address, slot_count=SLOT_COUNT)
    host.process.slowness = COLD_SLOWNESS
    dep.net.loop.call_later(COLD_S, _warm, host)


def _warm(host: object) -> None:
    host.process.slowness = 1.0


def _stall(dep: deployment.Deployment, address: str, is_stalled: bool) -> None:
    dep.net.hosts[address].process.is_stalled = is_stalled


def _kill_placer(dep: deployment.Deployment, service: str) -> None:
    core = dep.cores()[0]
    placer_id = core.members.placer_id(service.encode())
    name = core.members.members[placer_id].name
    dep.net.kill(name)


def _summarise(dep: deployment.Deployment, start_s: float, control_bytes_per_s: float) -> Run:
    outcomes = list(dep.net.tally.outcomes.values())
    crest: dict[str, list[float]] = {}
    network = []
    for outcome in outcomes:
        if outcome.completed_s is None or outcome.kind != "short":
            continue
        taken_s = outcome.completed_s - outcome.opened_s
        network.append(taken_s - outcome.work_s)
        if is_crest(outcome.opened_s - start_s):
            crest.setdefault(outcome.service, []).append(taken_s)
    return Run(
        broken=sum(not o.is_complete and not o.is_refused for o in outcomes),
        refused=sum(o.is_refused for o in outcomes),
        retries=sum(core.counts.events["retries"] for core in dep.cores()),
        flow_count=len(outcomes),
        crest_s=crest,
        floor_s=min(network),
        imbalance=_imbalance(dep),
        control_bytes_per_s=control_bytes_per_s,
    )


def _imbalance(dep: deployment.Deployment) -> float:
    """Over targets that stood all the time."""
    worst = 0.0
    placed_s = dep.net.tally.placed_s
    by_service: dict[str, list[float]] = {}
    for address, host in dep.net.hosts.items():
        if address not in ("127.0.10.2", "127.0.10.3"):
            work_s = placed_s.get(host.process.name, 0.0)
            by_service.setdefault(host.process.service, []).append(work_s)
    for works in by_service.values():
        worst = max(worst, max(works) / statistics.mean(works))
    return worst


def quantile(values: Sequence[float], share: float) -> float:
    """Returns a quantile of measured values.

    Args:
        values: At least one value.
        share: Between 0 and 1.
    """
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def ideal_crest(name: str, seed: int) -> dict[str, list[float]]:
    """Runs the work of a deployment through the ideal queue.

    Args:
        name: The deployment.
        seed: Seed of the work.

    Returns:
        Response times of short work at the crests by service, of the better of plain first come,
        first served and short-first with reserved slots, by the 99th percentile.
    """
    found = {}
    for service, host_count in DEPLOYMENTS[name].items():
        jobs = make_jobs(service, host_count, seed)
        choices = []
        for reserved in (0, host_count):
            times = ideal_times(jobs, host_count * SLOT_COUNT, reserved)
            choices.append(
                [
                    taken_s
                    for taken_s, job in zip(times, jobs, strict=True)
                    if is_crest(job.at_s) and not job.is_straggler
                ]
            )
        found[service] = min(choices, key=lambda times: quantile(times, 0.99))
    return found


def _crest_row(runs: Sequence[Run], share: float) -> float:
    """The worst service's quantile over all seeds."""
    services = runs[0].crest_s
    pooled = [[t for run in runs for t in run.crest_s[service]] for service in services]
    return max(quantile(times, share) for times in pooled)


def print_deployment(name: str, runs: dict[tuple[str, str], list[Run]], seeds: list[int]) -> None:
    """Prints the table of one deployment.

    Args:
        name: The deployment.
        runs: Runs by policy and variant, one a seed.
        seeds: The seeds.
    """
    ideals = [ideal_crest(name, seed) for seed in seeds]
    pooled = {s: [t for ideal in ideals for t in ideal[s]] for s in DEPLOYMENTS[name]}
    rows = []
    for policy in dict.fromkeys(policy for policy, _ in runs):
        plain, free, cut, faulty, killed = (runs[policy, variant] for variant in VARIANTS)
        p99_s = _crest_row(plain, 0.99)
        floor_s = plain[0].floor_s
        ideal_s = max(quantile(times, 0.99) for times in pooled.values()) + floor_s
        rows.append(
            (
                policy,
                f"{max(run.imbalance for run in plain):.2f}",
                *(f"{_crest_row(plain, share):.3f}" for share in (0.5, 0.99, 0.999)),
                f"{p99_s / ideal_s:.2f}",
                f"{p99_s / _crest_row(free, 0.99):.2f}",
                f"{p99_s / _crest_row(cut, 0.99):.2f}",
                f"{_crest_row(faulty, 0.99):.3f}",
                f"{_crest_row(killed, 0.99):.3f}",
                "/".join(str(sum(r.broken for r in group)) for group in (plain, faulty, killed)),
                "/".join(str(sum(r.refused for r in group)) for group in (plain, faulty, killed)),
                "/".join(str(sum(r.retries for r in group)) for group in (plain, faulty, killed)),
                f"{max(run.control_bytes_per_s for run in plain):,.0f}",
            )
        )
    headers = (
        "policy", "imbalance", "crest p50", "p99", "p99.9", "p99/ideal", "HOL",
        "HOL same load", "faulty p99", "killed p99", "broken", "refused", "retries", "control B/s",
    )  # fmt: skip
    count = sum(run.flow_count for run in runs[rows[0][0], VARIANTS[0]])
    print(f"{name}: {count:,} flows a policy, short work at the crest in seconds")
    print(tabulate.tabulate(rows, headers=headers, disable_numparse=True))
    ideal = ", ".join(f"{s} {quantile(t, 0.99):.3f}" for s, t in pooled.items())
    print("HOL: p99 over p99 with the stragglers left out, and cut into short pieces")
    print("broken, refused and retries: plain / targets at fault / placer killed")
    print(f"ideal queue's p99: {ideal}; network floor {floor_s:.3f}\n")


def main() -> None:
    """Runs every policy and prints a table for each deployment."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--policies", default=",".join(placement.names()))
    options = parser.parse_args()
    seeds = list(range(1, 1 + options.seeds))
    policies = options.policies.split(",")
    jobs = list(itertools.product(policies, DEPLOYMENTS, VARIANTS, seeds))
    with concurrent.futures.ProcessPoolExecutor(max_workers=7) as pool:
        found = list(pool.map(measure, *zip(*jobs, strict=True)))
    for name in DEPLOYMENTS:
        runs: dict[tuple[str, str], list[Run]] = {}
        for (policy, deployed, variant, _), run in zip(jobs, found, strict=True):
            if deployed == name:
                runs.setdefault((policy, variant), []).append(run)
        print_deployment(name, runs, seeds)


if __name__ == "__main__":
    main()
