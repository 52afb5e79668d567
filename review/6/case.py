"""RECOVER: after all model workers crashed once, the requests with their system prompt are refused for ten minutes."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
import harness  # noqa: E402

MODEL, ORDERS, HOST, KEY = "model-pool", "orders-app", "kits.example", "key-of-the-school"
# Requests a second, tokens in and out, time limit in seconds, by kind. The drafts are as on the sheet of the school kits.
DRAFTS = {"syllabus": (20.8, 2950, 52, 6.0), "explain": (14.1, 1860, 24, 4.0), "chat": (18.1, 603, 280, 15.0)}
ORDERS_PER_S = 8.0
ENGINES, WORKERS, SLOTS = 9, 3, 6
SYSTEM_PROMPT = "5c1e07a2"  # ID of the first part of all prompts, 60 tokens
CRASH_AT, DOWN = 8.0, 3.0  # seconds; for how long the model workers are down
FINAL_AT = 20.0  # seconds; all processes are killed right after a configuration was acknowledged
DOWN_AT_END = 1.0  # seconds until the platform starts them again
MEASURED = 14.0  # seconds, from recover-s after they are back

CONFIG = {
    "version": 7,
    "routes": [
        *({"name": kind, "host": HOST, "path-prefix": f"/{kind}/", "service": MODEL, "route-type": "stream",
           "stream-resume": False, "sticky": True, "gap-aim-ms": 400, "max-attempts": 1, "timeout-ms": int(limit * 1000),
           "target-latency-ms": 600, "priority": rank} for rank, (kind, (_, _, _, limit)) in enumerate(DRAFTS.items())),
        {"name": "order", "host": HOST, "path-prefix": "/order/", "service": ORDERS, "route-type": "unsafe",
         "max-attempts": 1, "timeout-ms": 800, "target-latency-ms": 300, "priority": 2},
    ],
    "services": [
        {"name": MODEL, "health-path": "/health", "max-connections": 370,
         "engine": {"slots": SLOTS, "kv-capacity": 259819, "models": [{"name": "m"}]}},
        {"name": ORDERS, "health-path": "/health", "max-connections": 110},
    ],
    "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
    "tenants": [{"name": "school", "api-keys": [KEY]}],
}


async def run(case):
    results = []  # (time at which the client sent it, route, status, whether it was whole)

    async def on_run(worker, call):
        await asyncio.sleep(0.06 * random.uniform(0.7, 1.3))
        await call.respond(200, worker.fields(call, True), b"x" * 800)

    engines = [harness.Engine(case.store, case.host(100 + n), MODEL, SLOTS) for n in range(ENGINES)]
    workers = [harness.Worker(case.store, case.host(200 + n), ORDERS, "v1", SLOTS, on_run) for n in range(WORKERS)]
    for worker in engines + workers:
        await worker.start()
    await case.store.put("keyed.op", "config", CONFIG)
    case.add_entries(2)
    case.add_agents([engine.host for engine in engines])
    await case.start_entries()
    balancer = asyncio.create_task(case.balance())
    await asyncio.sleep(3)

    async def ask(kind):
        name = case.next_id()
        fields = {"Host": HOST, "Request-Id": name, "Authorization": f"Bearer {KEY}"}
        limit = 1.5
        if kind in DRAFTS:
            _, tokens_in, tokens_out, limit = DRAFTS[kind]
            fields.update({"Model": "m", "Token-Counts": f"{tokens_in},{tokens_out}",
                           "Prompt-Prefix": f"{SYSTEM_PROMPT}:60,{name}:{tokens_in - 60}"})
        fields["Deadline-Ms"] = str(int(limit * 1000))
        answer, at = harness.Answer(), case.now()
        channel = harness.Connection()
        try:
            await channel.open(case.choose_entry().address)
            data = harness.request_bytes("POST", f"/{kind}/{name}", fields, name.encode() * 40)
            answer = await channel.ask(data, limit)
        except (OSError, asyncio.TimeoutError):
            answer.error = "no channel"
        finally:
            channel.close()
        results.append((at, kind in DRAFTS, answer.status, answer.is_complete))
        case.note(f"{kind} {name} sent at {at:.3f}: {answer.status} {answer.error or 'whole'} {answer.body[:40]!r}"
                  if answer.status != 200 else f"{kind} {name} sent at {at:.3f}: 200")

    async def load(kind, per_s):
        while True:
            asyncio.ensure_future(ask(kind))
            await asyncio.sleep(random.expovariate(per_s))

    def share(begin, end, is_draft=None):
        rows = [row for row in results if begin <= row[0] < end and is_draft in (None, row[1])]
        good = sum(status == 200 and whole for _, _, status, whole in rows)
        return good / max(len(rows), 1), f"{good} of {len(rows)}"

    rates = {**{kind: row[0] for kind, row in DRAFTS.items()}, "order": ORDERS_PER_S}
    loads = [asyncio.create_task(load(kind, per_s)) for kind, per_s in rates.items()]
    begun = case.now()
    await asyncio.sleep(CRASH_AT)
    crashed = case.now()
    if case.has_trouble:
        case.say(f"all {ENGINES} model workers crash and are back {DOWN:.0f} s later")
        await asyncio.gather(*(engine.crash(DOWN) for engine in engines))
    await asyncio.sleep(begun + FINAL_AT - case.now())
    await case.store.put("keyed.op", "config", {**CONFIG, "version": 11})
    case.say("a configuration is acknowledged and all processes of the system are killed")
    final = case.now()
    for node in case.nodes():
        node.kill()
    await asyncio.sleep(DOWN_AT_END)
    for node in case.nodes():
        node.start()
    back = case.now()
    case.say("all processes are started again")
    await asyncio.sleep(harness.BOUNDS["recover-s"] + MEASURED)
    end = case.now()
    for task in loads:
        task.cancel()
    await asyncio.sleep(8)
    balancer.cancel()
    case.note_log_lines("event=suspect ", "event=endpoint_died", "event=suspicions")
    before, before_text = share(begun, final)
    after, after_text = share(back + harness.BOUNDS["recover-s"], end)
    case.say(f"served before the crash: {share(begun, crashed)[1]}; drafts from 2 s after the return of the workers to the "
             f"final fault: {share(crashed + DOWN + 2, final, True)[1]}")
    case.say(f"served before the final fault: {before_text}; later than recover-s after it: {after_text}, "
             f"of the drafts {share(back + harness.BOUNDS['recover-s'], end, True)[1]}")
    if before < 0.25:
        raise harness.CannotRun("less than a quarter was served before the final fault")
    return [f"only {after_text} served later than 12 s after the processes were back"] if after < 0.25 else []


harness.play(os.path.dirname(os.path.abspath(__file__)), run)
