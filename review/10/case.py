"""EXPOSURE: a version that was rolled back gets calls again as soon as the next order comes."""

import asyncio
import json
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
import harness  # noqa: E402

SERVICE, HOST, KEY = "order-desk", "desk.example", "key-of-the-store"
RATES = {"book": 70.0, "read": 28.0}  # requests a second by route, as on the sheet of the furniture retailer
WORK = 0.03  # seconds
WORKERS = 3  # of each version, 6 slots each
ORDER_TIME = 12.0  # duration-s of each order
NEXT_ORDER_AFTER = 1.0  # seconds after the roll-back of v2 until v3 is ordered
DRAIN_AFTER = 8.0  # seconds after the roll-back of v2 until its workers drain
BADNESS = os.environ.get("BADNESS", "slow")  # or "fail"
SLOW, FAILED_SHARE = 4.0, 0.5

CONFIG = {
    "version": 7,
    "routes": [
        {"name": "book", "host": HOST, "path-prefix": "/book/", "service": SERVICE, "route-type": "unsafe",
         "max-attempts": 1, "timeout-ms": 2500, "target-latency-ms": 200, "priority": 2},
        {"name": "read", "host": HOST, "path-prefix": "/read/", "service": SERVICE, "route-type": "safe",
         "max-attempts": 2, "timeout-ms": 2500, "target-latency-ms": 200, "priority": 2},
    ],
    "services": [{"name": SERVICE}],
    "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 5000, "idle-timeout-ms": 30000},
    "tenants": [{"name": "store", "api-keys": [KEY]}],
}


async def run(case):
    sent = {}  # request id -> time at which the client sent it
    reached = {"v1": [], "v2": [], "v3": []}  # (time, request id) by version
    bad = []  # times of the bad answers of v2
    statuses = {}
    rolled_back = asyncio.Event()

    async def on_run(worker, call):
        is_bad = case.has_trouble and worker.version == "v2"
        await asyncio.sleep(WORK * random.uniform(0.7, 1.3) * (SLOW if is_bad and BADNESS == "slow" else 1))
        if is_bad and BADNESS == "slow":
            bad.append(case.now())
        elif is_bad and random.random() < FAILED_SHARE:
            bad.append(case.now())
            return await call.respond(500, worker.fields(call, True), b"failed")
        return await call.respond(200, worker.fields(call, True), b"x" * 800)

    def on_arrival(worker, call):
        reached[worker.version].append((case.now(), call.head.get("request-id")))

    workers = {}
    for index, version in enumerate(reached):
        hosts = [case.host(100 + 10 * index + n) for n in range(WORKERS)]
        workers[version] = [harness.Worker(case.store, host, SERVICE, version, 6, on_run) for host in hosts]
        for worker in workers[version]:
            worker.on_arrival = on_arrival
    for worker in workers["v1"]:
        await worker.start()
    await case.store.put("keyed.op", "config", CONFIG)
    case.add_entries(2)
    await case.start_entries()
    balancer = asyncio.create_task(case.balance())

    def on_status(topic, key, value):
        if topic == "keyed.status" and key == f"rollout/{SERVICE}":
            status = json.loads(value)
            case.say(f"the system wrote status/rollout/{SERVICE}: {status['target']} {status['state']}")
            if status["target"] == "v2" and status["state"] == "rolled_back":
                rolled_back.set()
            if status["state"] == "completed":  # the old workers stop at once
                for version in reached:
                    for worker in workers[version] if version != status["target"] else []:
                        worker.stop()

    case.store.on_append = on_status

    async def ask(route):
        name = case.next_id()
        channel = harness.Connection()
        method = "POST" if route == "book" else "GET"
        fields = {"Host": HOST, "Request-Id": name, "Deadline-Ms": "2500", "Authorization": f"Bearer {KEY}"}
        try:
            await channel.open(case.choose_entry().address)
            sent[name] = case.now()
            data = harness.request_bytes(method, f"/{route}/{name}", fields, b"o" * 600 if route == "book" else b"")
            answer = await channel.ask(data, 2.5)
            statuses[answer.status] = statuses.get(answer.status, 0) + 1
        except (OSError, asyncio.TimeoutError):
            pass
        finally:
            channel.close()

    async def load(route):
        while True:
            asyncio.ensure_future(ask(route))
            await asyncio.sleep(random.expovariate(RATES[route]))

    async def order(version):
        for worker in workers[version]:
            await worker.start()
        await asyncio.sleep(1)
        value = {"service": SERVICE, "target": version, "duration-s": ORDER_TIME}
        await case.store.put("keyed.op", f"rollout/{SERVICE}", value)
        case.say(f"order to move to {version} within {ORDER_TIME:.0f} s")

    async def drain_new():
        await asyncio.sleep(DRAIN_AFTER)
        case.say("the workers of v2 drain")
        for worker in workers["v2"]:
            worker.state = "draining"
            await worker.register()

    loads = [asyncio.create_task(load(route)) for route in RATES]
    await asyncio.sleep(4)
    await order("v2")
    ordered = case.now()
    limit = ordered + ORDER_TIME
    if case.has_trouble:
        await asyncio.wait_for(rolled_back.wait(), ORDER_TIME + 5)
        back = case.now()
        asyncio.ensure_future(drain_new())
        await asyncio.sleep(NEXT_ORDER_AFTER - 1)
        await order("v3")
        await asyncio.sleep(max(back + DRAIN_AFTER + 4, limit) - case.now())
    else:
        await asyncio.sleep(ORDER_TIME)
    for task in loads:
        task.cancel()
    await asyncio.sleep(1)
    balancer.cancel()

    all_in_time = sum(ordered <= at <= limit for at in sent.values())
    new_in_time = sum(ordered <= at <= limit for at, _ in reached["v2"])
    allowed = harness.BOUNDS["exposure-share"] * all_in_time + harness.BOUNDS["exposure-slack"]
    case.say(f"between the order of v2 and its time limit: {all_in_time} requests, {new_in_time} reached v2; "
             f"{len(bad)} bad answers of v2; answers by status {statuses}")
    if not bad:
        return []
    before = sum(at <= back for at, _ in reached["v2"])
    case.say(f"{before} of them before its roll-back, {len(reached['v2']) - before} after it")
    broken = []
    if new_in_time > allowed:
        broken.append(f"the bad version got {new_in_time} of {all_in_time} requests, more than {allowed:.0f}")
    if len(bad) >= 50:
        bound = sorted(bad)[49] + harness.BOUNDS["rollback-ms"] / 1000
        late = sum(sent.get(name, 0) > bound for _, name in reached["v2"])
        if late:
            broken.append(f"{late} requests reached the bad version that were sent later than 5 s after its 50th bad answer")
    return broken


harness.play(os.path.dirname(os.path.abspath(__file__)), run)
