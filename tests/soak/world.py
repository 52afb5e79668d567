"""One run: the stand-ins, the processes, the callers, the operator's configurations."""

import asyncio
import copy
import json
import os
import random
import socket
import time

import callers
import endpoints
import evacuations
import ledger
import nodes
import store

STORE_PORT, APP_PORT = 8225, 8080
START_TIMEOUT = 30.0  # seconds until all entries must be ready, on a busy machine
READY_PERIOD = 0.25  # seconds between two questions for readiness
WARM_UP = 2.0  # seconds of traffic before the first fault
RECOVERY = 6.0  # seconds after the last fault until all is served again
CALM_CHECK = 3.0  # seconds of traffic that are counted then
LEAST_SERVED = 0.9  # of the requests in that time
LAG_PERIOD, LAG = 0.05, 0.15  # seconds
WAIT_PERIOD = 0.25  # seconds between two looks at the processes' waits for a processor
OLD_ROUTE_WEIGHT = 0.3  # of requests on a route that was removed, against 1 for most others
FIRST_NET, LAST_NET = 16, 250  # 127.N.0.0/16 that runs take


def claim_network():
    """A network of the loopback that no other run uses, held by a listening socket."""
    for number in random.sample(range(FIRST_NET, LAST_NET), LAST_NET - FIRST_NET):
        guard = socket.socket()
        try:
            guard.bind((f"127.{number}.255.254", 1999))
            guard.listen(1)
            return number, guard
        except OSError:
            guard.close()
    raise RuntimeError("no network of the loopback is free")


class World:
    def __init__(self, seed, sizes, program, folder):
        self.random = random.Random(seed)
        self.seed = seed
        self.folder = folder
        self.begun = time.monotonic()
        self.log_file = open(os.path.join(folder, "soak.log"), "w", encoding="utf8")
        self.ledger = ledger.Ledger(self.log, self.begun)
        self.store = store.Store(seed)
        self.is_over = False
        self.tasks = set()
        self.leave_time = ledger.LEAVING + 1.5
        self.net, self.guard = claim_network()
        self.store_address = (f"127.{self.net}.0.1", STORE_PORT)
        self.endpoints = []
        self.moving = set()  # services
        self.next_version = 2
        self.entries = []
        self.agents = []
        self.has_agents = not sizes["no_agents"]
        self.build(sizes, program)
        self.callers = [
            callers.Caller(f"c{number}", self.keys[number % len(self.keys)], self)
            for number in range(sizes["callers"])
        ]
        self.callers += [
            callers.CrashingCaller(f"x{number}", self.keys[-1], self, ("stream-chat", "unsafe-order")[number % 2])
            for number in range(sizes["crashers"])
        ]
        self.has_tainted = sizes["tainted"] > 0
        self.callers += [
            callers.TaintedCaller(f"t{number}", self.keys[-1], self, "stream-chat")
            for number in range(sizes["tainted"])
        ]

    def build(self, sizes, program):
        self.program = program
        for number in range(sizes["engines"] + 2 * sizes["services"]):
            is_engine = number < sizes["engines"]
            self.add_endpoint("pool" if is_engine else ("app-a", "app-b")[number % 2])
        for number in range(sizes["entries"]):
            ip = f"127.{self.net}.{60 + number // 200}.{1 + number % 200}"
            self.entries.append(
                nodes.Node(f"entry{number}", "entry", ip, self.folder, program, self.store_address)
            )
        self.keys = [f"key-{number}" for number in range(6)]
        self.config = self.first_config(sizes)
        self.long_body_faults = 0  # faults that need them
        self.old_routes = []  # that were removed and are not there now

    def add_endpoint(self, service):
        """A new endpoint, and the agent beside it where it is an engine; neither is started."""
        number = len(self.endpoints)
        own = (f"127.{self.net}.{20 + number // 200}.{1 + number % 200}", APP_PORT)
        seen = (f"127.{self.net}.{40 + number // 200}.{1 + number % 200}", APP_PORT)
        same = sum(row.service == service for row in self.endpoints)
        domain = evacuations.DOMAINS[same % len(evacuations.DOMAINS)]
        endpoint = endpoints.Endpoint(f"e{number}", service, service == "pool", 6, own, seen, domain, self)
        self.endpoints.append(endpoint)
        if endpoint.is_engine and self.has_agents:
            endpoint.agent = nodes.Node(
                f"agent{number}", "agent", seen[0], self.folder, self.program, self.store_address, own
            )
            self.agents.append(endpoint.agent)
        return endpoint

    def first_config(self, sizes):
        def route(name, kind, service, timeout, objective, priority):
            return {
                "name": name, "host": "shop.test", "path-prefix": f"/{name}/", "route-type": kind,
                "service": service, "timeout-ms": timeout, "target-latency-ms": objective,
                "priority": priority, "max-attempts": 2, "gap-aim-ms": 400,
            }  # fmt: skip

        services = [
            {"name": "pool", "health-path": "/health", "engine": {"slots": 6}},
            {"name": "app-a", "health-path": "/health"},
            {"name": "app-b", "health-path": "/health"},
        ]
        limited = {"rate-per-s": 4 + sizes["callers"] // 8, "burst": 10}
        tenants = [
            {"name": "limited", "api-keys": self.keys[:2], **limited},
            {"name": "free", "api-keys": self.keys[2:], "rate-per-s": 0, "burst": 0},
        ]
        return {
            "version": 1,
            "routes": [
                route("stream-chat", "stream", "pool", 6000, 600, 0),
                route("unsafe-order", "unsafe", "app-a", 3000, 300, 1),
                route("safe-status", "safe", "app-a", 3000, 300, 2),
                route("safe-moved", "safe", "app-b", 3000, 300, 2),
            ],
            "services": services,
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 1048576,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
            "tenants": tenants,
        }  # fmt: skip

    def log(self, text):
        self.log_file.write(f"{time.monotonic() - self.begun:8.3f} {text}\n")
        self.log_file.flush()

    def background(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.on_task_end)

    def on_task_end(self, task):
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.ledger.find("SOAK", f"the soak itself failed: {task.exception()!r}")

    async def put_config(self, change):
        """Writes a changed configuration; the change is excused as planned work for a while."""
        old = self.config
        config = copy.deepcopy(old)
        change(config)
        config["version"] = self.config["version"] + self.random.randrange(1, 4)
        self.config = config
        self.old_routes = [row for row in self.old_routes + old["routes"] if row["name"] not in self.names(config)]
        self.ledger.send_config(config)
        await self.store.put("keyed.op", "config", json.dumps(config))
        self.ledger.put_config(config)
        self.log(f"configuration {config['version']} is acknowledged")

    @staticmethod
    def names(config):
        return [row["name"] for row in config["routes"]]

    def draw_route(self):
        routes = self.config["routes"] + self.old_routes
        weights = [3 if route["name"] == "stream-chat" else 1 for route in self.config["routes"]]
        weights += [OLD_ROUTE_WEIGHT] * len(self.old_routes)
        route = self.random.choices(routes, weights)[0]
        return route["name"], route["path-prefix"], self.random.choice((1.5, 3.0, 5.0))

    def pick_entry(self):
        """As the platform's balancer: entries in rotation, all if those are under half."""
        ready = [entry for entry in self.entries if entry.in_rotation]
        pool = ready if 2 * len(ready) >= len(self.entries) else self.entries
        return self.random.choice(pool)

    async def watch_entry(self, entry):
        while not self.is_over:
            await entry.ask_ready()
            await asyncio.sleep(READY_PERIOD)

    async def watch_ends(self):
        while not self.is_over:
            for node in self.entries + self.agents:
                code = node.own_end()
                if code is not None:
                    self.ledger.find("ENDED", f"{node.name} ended by itself with {code}")
                    node.start()
            await asyncio.sleep(0.1)

    async def watch_lag(self):
        """A machine so busy that the soak itself runs late: what it sees then has no exact time."""
        while not self.is_over:
            before = time.monotonic()
            await asyncio.sleep(LAG_PERIOD)
            late = time.monotonic() - before - LAG_PERIOD
            if late > LAG:
                record = self.ledger.begin("all", f"lag of {late:.3f} s")
                record[0] = before
                self.ledger.end(record)

    async def watch_waits(self):
        """Logs which processes the machine held off: a late one is told from one that is busy or blocked. Excuses nothing."""
        before = {}
        while not self.is_over:
            for node in self.entries + self.agents:
                waited = node.waited()
                if waited - before.get(node, waited) > LAG:
                    self.log(f"{node.name} waited {waited - before[node]:.3f} s for a processor in the last {WAIT_PERIOD} s or more")
                before[node] = waited
            await asyncio.sleep(WAIT_PERIOD)

    async def start(self):
        self.background(self.watch_lag())
        self.background(self.watch_waits())
        await self.store.start(*self.store_address)
        await self.put_config(lambda config: None)
        for endpoint in self.endpoints:
            await endpoint.start()
        for node in self.agents + self.entries:
            await node.prepare(STORE_PORT)
            node.start()
        for entry in self.entries:
            self.background(self.watch_entry(entry))
        self.background(self.watch_ends())
        until = time.monotonic() + START_TIMEOUT
        while not all(entry.in_rotation for entry in self.entries):
            if time.monotonic() > until:
                late = [entry.name for entry in self.entries if not entry.in_rotation]
                self.ledger.find("START", f"not ready after {START_TIMEOUT:.0f} s: {late}")
                return
            await asyncio.sleep(0.05)

    async def play(self, faults, seconds):
        await self.start()
        self.log("all entries are ready")
        for caller in self.callers:
            self.background(caller.run())
        await asyncio.sleep(WARM_UP)
        await faults.play(self, seconds)
        self.log("all faults are over")
        await asyncio.sleep(RECOVERY)
        before = time.monotonic()
        await asyncio.sleep(CALM_CHECK)
        self.check_recovery(before, time.monotonic())
        self.is_over = True
        await self.stop()
        self.ledger.finish()

    def check_recovery(self, since, until):
        """Requests of accounts without a quota are served again."""
        asked = served = 0
        for request in self.ledger.requests.values():
            is_owed = request.key in self.keys[2:] and not request.gone and request.key not in self.ledger.withdrawn
            is_owed = is_owed and not request.is_crashing and request.route in self.names(self.config)
            if is_owed and since <= request.sent <= until - 1:
                asked += 1
                served += 200 <= request.status < 300
        self.log(f"after the faults {served} of {asked} requests were served")
        if served < LEAST_SERVED * asked or asked == 0:
            self.ledger.find("RECOVER", f"{served} of {asked} requests were served {RECOVERY} s after the last fault")

    async def stop(self):
        """Ends the processes, entries by SIGTERM while callers finish what they have."""
        await asyncio.sleep(0.2)
        takes = await asyncio.gather(*(node.terminate() for node in self.entries))
        for entry, took in zip(self.entries, takes):
            if took is None:
                self.ledger.find("SHUTDOWN", f"{entry.name} had to be killed {ledger.SHUTDOWN} s after SIGTERM")
        for agent in self.agents:
            agent.kill()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.guard.close()

    def kill_all(self):
        for node in self.entries + self.agents:
            node.kill()
