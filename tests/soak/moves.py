"""The operator's order to move a service to another version, and what must hold meanwhile."""

import asyncio
import json
import time

DURATION = 10.0  # seconds, as ordered
LATE = 8.0  # seconds beyond it in which an outcome is still waited for
EXPOSURE_SHARE, EXPOSURE_SLACK = 0.1, 50
BAD_SEEN, ROLL_BACK = 50, 5.0  # bad answers, seconds after the last of them
PERIOD = 0.05  # seconds between two looks at the status


def read_state(store, service, version):
    key = f"rollout/{service}".encode()
    for row in reversed(store.topics.get("keyed.status", [])):
        if row[1 : 1 + row[0]] == key:
            status = json.loads(row[1 + row[0] :])
            return status["state"] if status["target"] == version else None
    return None


async def play(world, service, old, new, quality):
    version = new[0].version
    world.next_version += 1
    order = {"service": service, "target": version, "duration-s": DURATION}
    await world.store.put("keyed.op", f"rollout/{service}", json.dumps(order))
    begun = time.monotonic()
    world.log(f"{service} is to move to {version}, which is {quality}")
    state = None
    while time.monotonic() < begun + DURATION + LATE and not world.is_over:
        state = read_state(world.store, service, version)
        if state in ("completed", "rolled_back"):
            break
        await asyncio.sleep(PERIOD)
    took = time.monotonic() - begun
    world.log(f"{service} to {version}, {quality}: {state} after {took:.2f} s")
    world.ledger.counts[f"move-{quality}-{state}"] += 1
    leaving = old if state == "completed" else new
    if state == "completed":
        check_completion(world, service, old, quality, begun)
    elif quality != "good":
        await asyncio.sleep(ROLL_BACK)
    if quality != "good":
        check_exposure(world, service, new, begun)
    for endpoint in leaving:
        await retire(world, endpoint)
    for endpoint in new:
        endpoint.is_moving = False
    world.moving.discard(service)


def check_completion(world, service, old, quality, begun):
    now = time.monotonic()
    names = [node.name for node in world.entries + world.agents] + ["store", "all"]
    is_calm = world.ledger.is_calm(names, begun, now, ("SIGTERM", "SIGHUP", "config", "leaving"))
    running = {row.id: row.running for row in old if row.running}
    if is_calm and running:
        world.ledger.find("MOVE", f"{service} counts as moved while runs go on at {running}")
    if is_calm and quality != "good":
        world.ledger.find("MOVE", f"{service} moved to a version that {quality}")


def check_exposure(world, service, new, begun):
    """Of entries in touch: the share of a bad version, and nothing soon after it has shown."""
    ids = {row.id for row in new}
    runs = sorted(
        ((run, request) for request in world.ledger.requests.values() for run in request.runs if run.at >= begun),
        key=lambda pair: pair[0].at,
    )
    until = begun + DURATION
    of_service = [pair for pair in runs if pair[0].service == service and pair[0].at <= until]
    at_new = [pair for pair in of_service if pair[0].endpoint in ids]
    bound = EXPOSURE_SHARE * len(of_service) + EXPOSURE_SLACK
    if len(at_new) > bound:
        world.ledger.find("EXPOSURE", f"{len(at_new)} of {len(of_service)} runs of {service} at a bad version")
    world.ledger.counts["exposed"] += len(at_new)
    bad = [run for run, _ in at_new if run.status >= 500 or new[0].slowness > 1]
    if len(bad) < BAD_SEEN:
        return
    end = bad[BAD_SEEN - 1].at + ROLL_BACK
    for run, request in runs:
        is_late = run.endpoint in ids and request.sent > end
        if is_late and world.ledger.in_touch(request.entry, request.sent, run.at):
            world.ledger.find("EXPOSURE", f"{request.id} ran at {run.endpoint} {request.sent - end:.2f} s too late")
            return


async def retire(world, endpoint):
    """Its version is not needed any more: it stops at once and does not come back."""
    endpoint.retired = True
    world.ledger.left.setdefault(endpoint.id, time.monotonic())
    record = world.ledger.begin("all", "config")
    if endpoint.state != "down":
        await world.store.put("keyed.servers", endpoint.id, None)
        await endpoint.crash()
    if endpoint.agent is not None:
        endpoint.agent.kill()
    await asyncio.sleep(0)
    world.ledger.end(record)
