"""Faults drawn from a seed: several series run side by side, so that faults overlap."""

import asyncio
import json
import random
import signal
import time

import evacuations
import ledger
import moves
import odd
import store


PLANNED_ONLY = 3  # each so many seeds play planned work alone, which excuses no lost answer
# A new kind changes what all seeds play. The regressions name the generation that they failed with:
# 1 has no moves of versions, 2 no named rates, repeated refusals and odd registrations, 3 no repeated SIGTERM,
# 4 no restores of the store and no odd answers, 5 no evacuations.
GENERATION = 6
ODD_DEPTH = 200_000  # levels of a registration
NAMED_RATES = (0.5, 1.5, 3.3, 6.0, 12.0)  # requests a second
SHARE_OF_KINDS = 0.5  # of all kinds that one run plays


class Faults:
    """The kinds that a run plays are drawn too: few of them meet more often than all do."""

    def __init__(self, seed, series, generation, only=()):
        self.random = random.Random(f"faults {seed}")
        self.series = series
        self.until = 0.0
        planned = {self.terminate: 3, self.hang_up: 1, self.kill_agent: 2, self.leave: 2, self.change_config: 3}
        kinds = self.all_kinds()
        if generation < 6:
            del kinds[self.evacuate]
        else:
            planned[self.evacuate] = 2
        if generation < 5:
            for kind in (self.restore_store, self.odd_answers):
                del kinds[kind]
        if generation < 4:
            del kinds[self.terminate_repeatedly]
        else:
            planned[self.terminate_repeatedly] = 2
        if generation < 3:
            for kind in (self.name_rate, self.repeat_refusals, self.register_odd):
                del kinds[kind]
        if generation < 2:
            del kinds[self.move_version]
        else:
            planned[self.move_version] = 2
        if seed % PLANNED_ONLY == 0:
            self.kinds = planned
        else:
            drawn = [kind for kind in kinds if self.random.random() < SHARE_OF_KINDS]
            self.kinds = {kind: kinds[kind] for kind in drawn or kinds}
        if only:
            self.kinds = {kind: weight for kind, weight in self.all_kinds().items() if kind.__name__ in only}

    def all_kinds(self):
        return {
            self.kill: 3,
            self.terminate: 3,
            self.pause: 2,
            self.hang_up: 1,
            self.kill_agent: 2,
            self.pause_agent: 1,
            self.cut_store: 3,
            self.store_mode: 2,
            self.store_forgets: 1,
            self.cut_endpoint: 3,
            self.reset_endpoint: 2,
            self.silence: 2,
            self.crash_endpoint: 2,
            self.leave: 2,
            self.fail_answers: 1,
            self.slow_endpoint: 1,
            self.change_config: 3,
            self.withdraw_key: 1,
            self.move_version: 2,
            self.kill_many: 1,
            self.name_rate: 3,
            self.repeat_refusals: 2,
            self.register_odd: 1,
            self.terminate_repeatedly: 2,
            self.restore_store: 2,
            self.odd_answers: 3,
            self.evacuate: 2,
        }

    async def play(self, world, seconds):
        self.until = time.monotonic() + seconds
        await asyncio.gather(*(self.play_series(world) for _ in range(self.series)))

    async def play_series(self, world):
        while time.monotonic() < self.until:
            await asyncio.sleep(self.random.uniform(0.1, 1.5))
            kind = self.random.choices(list(self.kinds), list(self.kinds.values()))[0]
            await kind(world)

    def length(self):
        return self.random.choice((0.3, 1.0, 2.5, 5.0))

    async def wait(self):
        left = max(self.until - time.monotonic(), 0.2)
        await asyncio.sleep(min(self.length(), left))

    def pick(self, nodes):
        free = [node for node in nodes if not node.is_busy]
        return self.random.choice(free) if free else None

    # Processes.

    async def with_node(self, world, nodes, kind, play):
        node = self.pick(nodes)
        if node is None:
            return
        node.is_busy = True
        record = world.ledger.begin(node.name, kind)
        try:
            await play(node)
        finally:
            node.is_busy = False
            world.ledger.end(record)

    async def kill(self, world, nodes=None, kind="SIGKILL"):
        async def play(node):
            node.kill()
            await asyncio.sleep(self.random.choice((0.05, 0.5, 2.0)))
            node.start()

        await self.with_node(world, nodes or world.entries, kind, play)

    async def kill_agent(self, world):
        await self.kill(world, world.agents)

    async def kill_many(self, world):
        """All processes at once, right after a configuration was acknowledged."""
        await world.put_config(lambda config: None)
        nodes = [node for node in world.entries + world.agents if not node.is_busy]
        await asyncio.gather(*(self.kill(world, [node]) for node in nodes))

    async def terminate_repeatedly(self, world):
        """Two orders to stop the same entry overlap."""
        await self.terminate(world, [self.random.choice((0.01, 0.05, 0.3)) for _ in range(self.random.choice((1, 3)))])

    async def terminate(self, world, pauses=()):
        async def play(node):
            took = await node.terminate(pauses)
            calm = world.ledger.is_calm((node.name, "store", "all"), time.monotonic() - 5, time.monotonic(), ("SIGTERM",))
            if took is None and calm:
                world.ledger.find("SHUTDOWN", f"{node.name} had to be killed {ledger.SHUTDOWN} s after SIGTERM")
            await asyncio.sleep(0.2)
            node.start()

        await self.with_node(world, world.entries, "SIGTERM", play)

    async def pause(self, world, nodes=None):
        async def play(node):
            node.signal(signal.SIGSTOP)
            await self.wait()
            node.signal(signal.SIGCONT)

        await self.with_node(world, nodes or world.entries, "SIGSTOP", play)

    async def pause_agent(self, world):
        await self.pause(world, world.agents)

    async def hang_up(self, world):
        async def play(node):
            node.signal(signal.SIGHUP)

        await self.with_node(world, world.entries + world.agents, "SIGHUP", play)

    # The way to the store, and the store.

    async def cut_store(self, world):
        entry = self.random.choice(world.entries)
        await self.cut(world, entry.link, entry.name)

    async def cut(self, world, link, name):
        mode = self.random.choice(("hold", "up", "down", "refuse", "delay", "reset"))
        record = world.ledger.begin(name, f"link {mode}")
        if mode in ("refuse", "reset"):
            link.reset_all()
        if mode != "reset":
            link.set_mode(mode, self.random.choice((0.02, 0.2, 0.8)))
            await self.wait()
            link.set_mode("pass")
        world.ledger.end(record)

    async def store_mode(self, world):
        if world.store.mode is not None:
            return
        mode = self.random.choice(("silent", "busy", "limited", "reset", "slow", "lost"))
        record = world.ledger.begin("store", mode)
        world.store.slow_by = self.random.choice((0.05, 0.4, 1.5))
        world.store.mode = mode
        await self.wait()
        world.store.mode = None
        world.ledger.end(record)

    async def store_forgets(self, world):
        record = world.ledger.begin("store", "history dropped")
        await world.store.drop_history()
        world.ledger.end(record)

    async def restore_store(self, world):
        """Away for a moment, then back as a copy from before; the owners of what is lost write it again."""
        if world.store.mode is not None:
            return
        mode = self.random.choice(("silent", "reset", "busy"))
        poll_end = self.random.choice(("answer", "reset", "hold"))
        age, away = self.random.uniform(1.0, 9.0), self.random.uniform(0.3, 2.5)
        owners = [(topic, self.random.uniform(0.0, 2.0), self.random.random() < 0.5) for topic in store.OWNED]
        record = world.ledger.begin("store", f"{mode}, copy {age:.1f} s old, polls {poll_end}")
        copied_at = max(time.monotonic() - age, world.ledger.configs[0].acknowledged)
        await world.store.go_away(mode, poll_end)
        await asyncio.sleep(away)
        lost = await world.store.come_back(copied_at)
        world.ledger.end(record)
        world.log(f"the store is back, era {world.store.era}; lost records: {lost}")
        for owner in owners:
            world.background(self.write_again(world, *owner))

    async def write_again(self, world, topic, *how):
        await world.store.write_again(topic, *how)
        world.log(f"{topic} is written again")

    # Endpoints and the ways to them.

    async def with_endpoint(self, world, kind, play):
        ready = [endpoint for endpoint in world.endpoints if endpoint.state == "ready" and not endpoint.is_moving]
        if not ready:
            return
        endpoint = self.random.choice(ready)
        world.log(f"fault {kind} on {endpoint.id}")
        await play(endpoint)

    def break_runs(self, world, endpoint):
        """Answers on the way are the fault's, not the entry's."""
        for request in world.ledger.requests.values():
            for run in request.runs:
                if run.endpoint == endpoint.id and not request.answered:
                    run.broken = True

    async def cut_endpoint(self, world):
        async def play(endpoint):
            await self.cut(world, endpoint.link, "all")
            self.break_runs(world, endpoint)

        await self.with_endpoint(world, "cut", play)

    async def reset_endpoint(self, world):
        async def play(endpoint):
            record = world.ledger.begin("all", "reset")
            endpoint.link.reset_all()
            world.ledger.end(record)

        await self.with_endpoint(world, "reset", play)

    async def silence(self, world):
        """Open connections go silent for good; new ones work."""

        async def play(endpoint):
            record = world.ledger.begin("all", "silence")
            endpoint.link.silence_all()
            self.random.choice(world.entries).link.silence_all()
            world.ledger.end(record)

        await self.with_endpoint(world, "silence", play)

    async def crash_endpoint(self, world):
        async def play(endpoint):
            record = world.ledger.begin("all", "crash")
            await endpoint.crash()
            world.ledger.end(record)
            await self.wait()
            await endpoint.come_back()

        await self.with_endpoint(world, "crash", play)

    async def leave(self, world):
        async def play(endpoint):
            await endpoint.leave(self.random.random() < 0.7)
            await asyncio.sleep(0.5)
            await endpoint.come_back()

        await self.with_endpoint(world, "leaving", play)

    async def fail_answers(self, world):
        async def play(endpoint):
            endpoint.failure_share = 0.4
            await self.wait()
            endpoint.failure_share = 0.0

        await self.with_endpoint(world, "failures", play)

    async def slow_endpoint(self, world):
        async def play(endpoint):
            endpoint.slowness = 4.0
            await self.wait()
            endpoint.slowness = 1.0

        await self.with_endpoint(world, "slowness", play)

    async def name_rate(self, world):
        """An endpoint in need names the rate that it takes, then another one, then none."""

        async def play(endpoint):
            if endpoint.rate is not None:
                return
            for _ in range(2):
                endpoint.name_rate(self.random.choice(NAMED_RATES))
                await asyncio.sleep(self.random.choice((2.0, 5.0, 7.0)))
            endpoint.name_rate(None)

        await self.with_endpoint(world, "named rate", play)

    async def repeat_refusals(self, world):
        async def play(endpoint):
            endpoint.repeats = self.random.choice(("with id", "without id"))
            await self.wait()
            endpoint.repeats = None

        await self.with_endpoint(world, "repeated refusals", play)

    async def odd_answers(self, world):
        """Some kinds of odd answers at one endpoint; see odd.py."""

        async def play(endpoint):
            if endpoint.odd is not None:
                return
            kinds = self.random.sample(odd.KINDS, self.random.choice((1, 2, 4)))
            world.log(f"odd: {endpoint.id} plays {', '.join(kinds)}")
            endpoint.odd = odd.Odd(endpoint, kinds)
            world.long_body_faults += odd.EARLY in kinds
            await self.wait()
            world.long_body_faults -= odd.EARLY in kinds
            endpoint.odd = None

        await self.with_endpoint(world, "odd answers", play)

    async def register_odd(self, world):
        """Another writer leaves an odd entry among those of the endpoints."""
        live = self.random.choice(world.endpoints)
        record = {"service": live.service, "address": "%s:%d" % live.seen_at, "zone": live.domain, "version": "v1",
                  "slots": 6, "state": "ready", "seq": 1, "born": int(time.time() * 1000)}  # fmt: skip
        nested = '{"service":"pool","odd":' + "[" * ODD_DEPTH + "]" * ODD_DEPTH + "}"
        odd = self.random.choice((
            nested,
            json.dumps({**record, "address": f"{live.seen_at[0]}:99999"}),
            json.dumps({**record, "born": 10**18}),
            json.dumps({**record, "born": -1}),
            json.dumps(record).replace('"seq": 1', '"seq": 1e300'),
            json.dumps(record).replace('"slots": 6', '"slots": 1e999'),
            json.dumps({**record, "service": ["pool"]}),
        ))  # fmt: skip
        world.log(f"fault odd entry {odd[:200]}")
        key = f"i-odd-{self.random.randrange(10**6)}"
        await world.store.put("keyed.servers", key, odd)
        await self.wait()
        if self.random.random() < 0.5:
            await world.store.put("keyed.servers", key, None)

    # The operator.

    async def change_config(self, world):
        def move(config):
            row = next(row for row in config["routes"] if row["name"] == "safe-moved")
            row["service"] = "app-a" if row["service"] == "app-b" else "app-b"

        def add_or_remove(config):
            names = [row["name"] for row in config["routes"]]
            if "safe-new" in names:
                config["routes"] = [row for row in config["routes"] if row["name"] != "safe-new"]
            else:
                like = next(row for row in config["routes"] if row["name"] == "safe-status")
                config["routes"].append({**like, "name": "safe-new", "path-prefix": "/safe-new/"})

        await self.configure(world, self.random.choice((move, add_or_remove)))

    async def move_version(self, world):
        """Endpoints of a new version start beside the old ones, and the operator orders the move."""
        service = self.random.choice(("pool", "app-a", "app-b"))
        old = [row for row in world.endpoints if row.service == service and not row.retired]
        if service in world.moving or any(row.state == "down" for row in old):
            return
        world.moving.add(service)
        quality = self.random.choice(("good", "good", "fails", "slow"))
        new = [world.add_endpoint(service) for _ in old]
        for endpoint in new:
            endpoint.version = f"v{world.next_version}"
            endpoint.is_moving = True
            endpoint.failure_share = 0.4 if quality == "fails" else 0.0
            endpoint.slowness = 6.0 if quality == "slow" else 1.0
            if endpoint.agent is not None:
                await endpoint.agent.prepare(world.store_address[1])
                endpoint.agent.start()
            await endpoint.start()
        await moves.play(world, service, old, new, quality)

    async def evacuate(self, world):
        """A failure domain gets nothing new for a while."""
        domain = self.random.choice(evacuations.DOMAINS)
        if world.ledger.evacuations.ordered:
            return
        world.log(f"{domain} is evacuated")
        await world.ledger.evacuations.order(world.store, domain)
        await asyncio.sleep(evacuations.EVACUATE + self.length())
        world.log(f"{domain} is taken back")
        await world.ledger.evacuations.take_back(world.store, domain)

    async def withdraw_key(self, world):
        def withdraw(config):
            keys = config["tenants"][1]["api-keys"]
            if len(keys) > 2:
                keys.remove(self.random.choice(keys))

        await self.configure(world, withdraw)

    async def configure(self, world, change):
        record = world.ledger.begin("all", "config")
        await world.put_config(change)
        await asyncio.sleep(ledger.CONFIG_APPLY + 1)
        world.ledger.end(record)
