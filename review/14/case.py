"""A roll-out to a version that is sound in the trial and fails a portion of its responses under load."""

import asyncio
import json
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-3"))
import standins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVICE, OTHER = "order-desk", "catalogue"
ENTRIES = 3
ORDER_RATE = 30.0  # orders per second at each entry
OTHER_RATE = 5.0  # look-ups per second at each entry
WORK_S = 0.06
FAILING = 0.6  # of the responses of the bad version while it is under load
LOAD, LOAD_WINDOW_S = 30, 0.5  # requests within that time; all orders are 45
ORDER_S = 15
PLAY_S = 40
DEADLINE_MS = 2500


class Version:
    """The workers of one version: the bad one fails a portion of its responses while it is under load."""

    def __init__(self, name, is_bad):
        self.name = name
        self.is_bad = is_bad
        self.recent = []
        self.arrivals = []
        self.bad = []
        self.random = random.Random(name)

    def fails(self):
        now = time.monotonic()
        self.arrivals.append(now)
        self.recent = [at for at in self.recent if now - at < LOAD_WINDOW_S] + [now]
        return self.is_bad and len(self.recent) >= LOAD and self.random.random() < FAILING


async def answer(worker, head, reader, writer):
    line, fields = head
    await reader.readexactly(int(fields.get("content-length", "0")))
    fails = worker.version.fails()
    await asyncio.sleep(WORK_S)
    if fails:
        worker.version.bad.append(time.monotonic())
    status = 500 if fails else 200
    fields = {"Request-Id": fields["request-id"], "Response-Stamp": worker.stamp(), "Content-Length": 800}
    writer.write(standins.write_head(status, "OK", fields) + b"a" * 800)
    await writer.drain()


class Operator:
    """Orders the roll-out and reads its status; the platform stops the old workers at `completed`."""

    def __init__(self, world, old, new):
        self.world = world
        self.old = old
        self.new = new
        self.states = []

    async def watch(self):
        seen = 0
        while True:
            rows = self.world.store.rows("keyed.status")
            for row in rows[seen:]:
                status = json.loads(row[1 + row[0] :])
                self.states.append((time.monotonic(), status["state"]))
                self.world.record.line(f"status of the roll-out: {status}")
                if status["state"] == "completed":
                    for worker in self.old:
                        await worker.stop()
                if status["state"] == "rolled_back":
                    for worker in self.new:
                        worker.state = "draining"
                        await worker.register()
            seen = len(rows)
            await asyncio.sleep(0.01)


async def ask(world, entry, kind, number):
    path = "/order/1" if kind == "order" else "/read/1"
    try:
        reader, writer = await asyncio.open_connection(entry.ip, standins.FRONT_PORT)
        writer.write(standins.request_bytes("POST" if kind == "order" else "GET", path, f"{kind}-{entry.name}-{number}",
                                            DEADLINE_MS, b"o" * 600 if kind == "order" else b""))
        line = await asyncio.wait_for(reader.readline(), DEADLINE_MS / 1000 + 1)
        status = line.split(b" ")[1].decode() if line else "closed"
        await reader.read(2000)
        writer.close()
    except (OSError, asyncio.TimeoutError) as error:
        status = repr(error)
    world.answers.append((time.monotonic(), entry.name, kind, status))


async def load(world, entry, kind, rate):
    number = 0
    while True:
        number += 1
        world.spawn(ask(world, entry, kind, number))
        await asyncio.sleep(1 / rate)


async def play(world):
    world.answers = []
    routes = [
        standins.route("order", "unsafe", SERVICE, DEADLINE_MS, 200, 1),
        standins.route("read", "safe", OTHER, DEADLINE_MS, 200),
    ]
    await world.start_platform(world.config(routes, [{"name": SERVICE}, {"name": OTHER}]))
    versions = {name: Version(name, name == "v2" and TROUBLE) for name in ("v1", "v2")}
    workers = {"v1": [], "v2": [], "other": []}

    async def add(group, service, version, number):
        worker = standins.Worker(world, f"w-{number}", service, (world.ip(number), standins.APP_PORT), 6, answer)
        worker.version_name, worker.version = version, versions.get(group) or Version("other", False)
        workers[group].append(worker)
        await worker.start()

    for number in (31, 32, 33):
        await add("v1", SERVICE, "v1", number)
        await add("other", OTHER, "v1", number + 10)
    entries = [world.add_node(f"front-{number}", "entry", 20 + number) for number in range(1, ENTRIES + 1)]
    if not await world.wait_ready(entries):
        return 2
    await asyncio.sleep(4.0)
    for entry in entries:
        world.spawn(load(world, entry, "order", ORDER_RATE))
        world.spawn(load(world, entry, "read", OTHER_RATE))
    await asyncio.sleep(4.0)
    for number in (51, 52, 53):
        await add("v2", SERVICE, "v2", number)
    await asyncio.sleep(1.0)
    operator = Operator(world, workers["v1"], workers["v2"])
    world.spawn(operator.watch())
    ordered = time.monotonic()
    world.record.line("the operator orders the roll-out")
    await world.store.put("keyed.op", f"rollout/{SERVICE}", json.dumps(
        {"service": SERVICE, "target": "v2", "duration-s": ORDER_S}))
    await asyncio.sleep(PLAY_S)
    if [state for _, state in operator.states][:1] != ["running"]:
        return 2
    new = versions["v2"]

    def within(rows):
        return sum(ordered <= at <= ordered + ORDER_S for at in rows)

    total = within(new.arrivals) + within(versions["v1"].arrivals)
    allowed = standins.BOUNDS["exposure-share"] * total + standins.BOUNDS["exposure-slack"]
    late = []
    if len(new.bad) >= 50:
        late = [at for at in new.arrivals if at > new.bad[49] + standins.BOUNDS["rollback-ms"] / 1000 + DEADLINE_MS / 1000]
    world.record.line(f"until its time limit the new version got {within(new.arrivals)} of {total} requests, allowed {allowed:.0f}")
    world.record.line(f"bad answers {len(new.bad)}; requests later than rollback-ms and the time limit of a request after the 50th: {len(late)}")
    for entry in entries:
        for kind in ("order", "read"):
            rows = [status for at, name, one, status in world.answers
                    if name == entry.name and one == kind and at > ordered + ORDER_S + 5]
            world.record.line(f"{entry.name}, {kind}, from 5 s after the time limit: { {s: rows.count(s) for s in sorted(set(rows))} }")
    is_broken = bool(late) or within(new.arrivals) > allowed
    return 1 if is_broken and new.bad else 0


sys.exit(standins.run_case(HERE, play))
