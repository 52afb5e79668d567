"""A small deployment on loopback addresses: store, entries as separate processes, workers, record."""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time

import http1
import store

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
STORE_PORT, CALLER_PORT, READY_PORT, FIRST_PORT, APP_PORT = 8225, 8221, 8224, 7600, 8080
HEARTBEAT = 1.2  # seconds
KEY = "key-1"
STABLE = 3.0  # stable-window-ms
BOUNDS = {
    "seed-lag-s": 3, "reuse-after-s": 2, "stable-window-ms": 3000, "ack-ms": 4000, "catch-up-s": 4,
    "drain-ms": 2000, "grace-s": 8, "loss-slack-ms": 200, "config-apply-ms": 2000,
    "downgrade-slack-ms": 250, "max-stretch-ms": 5000, "enforce-revoke": True, "revoke-ms": 5000,
    "retry-budget-ratio": 0.2, "budget-window-s": 10, "budget-extra": 56, "quota-window-s": 8,
    "quota-overage": 0.1, "quota-slack": 110000, "recover-s": 12,
}  # fmt: skip


class CannotRun(Exception):
    pass


def claim_network():
    """A network of the loopback that no other run uses, held by a listening socket."""
    for number in random.sample(range(16, 250), 234):
        guard = socket.socket()
        try:
            guard.bind((f"127.{number}.255.253", 1998))
            guard.listen(1)
            return number, guard
        except OSError:
            guard.close()
    raise CannotRun("no free network of the loopback")


class Record:
    """record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf8")
        self.begun = time.monotonic()

    def add(self, text):
        self.file.write(f"{time.monotonic() - self.begun:8.3f} {text}\n")
        self.file.flush()


class Worker:
    """A sound worker of a service: runs what names it, answers with id and stamp."""

    def __init__(self, world, name, service, number, slots=6):
        self.world = world
        self.name = name
        self.id = f"i-{name}"
        self.service = service
        self.slots = slots
        self.address = (f"127.{world.net}.20.{number}", APP_PORT)
        self.version = "v1"
        self.state = "ready"
        self.seq = 0
        self.count = 0
        self.running = {}
        self.born = int(time.time() * 1000)

    async def start(self, run):
        """run(worker, fields, target, body, reader, writer) answers one request."""
        self.run = run
        self.server = await asyncio.start_server(self.on_connection, *self.address, limit=1 << 20)
        await self.register()
        self.world.background(self.beat())

    async def beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT)
            await self.register()

    async def register(self):
        self.seq += 1
        await self.world.store.put("keyed.servers", self.id, {
            "service": self.service, "address": "%s:%d" % self.address, "zone": "east",
            "version": self.version, "slots": self.slots, "state": self.state,
            "cold-remaining-ms": 0, "seq": self.seq, "born": self.born,
        })  # fmt: skip

    def stamp(self):
        self.count += 1
        return f"{self.id}.{self.count}"

    async def on_connection(self, reader, writer):
        try:
            while True:
                head = await http1.read_head(reader)
                if head is None:
                    break
                body = await http1.read_body(reader, head[1])
                method, target, _ = head[0].split()
                if target == "/health":
                    writer.write(http1.answer(200, {"Instance-Id": self.id}))
                elif head[1].get("expect-instance", self.id) != self.id:
                    fields = {"Request-Id": head[1].get("request-id", ""), "Not-Executed": "1",
                              "Response-Stamp": self.stamp()}  # fmt: skip
                    writer.write(http1.answer(421, fields))
                else:
                    await self.run(self, head[1], target, body, reader, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Entry:
    """One front machine: the program of the deploy file, started as the platform does."""

    def __init__(self, world, number):
        self.world = world
        self.name = f"front-east-{number}"
        self.ip = f"127.{world.net}.60.{number}"
        self.address = (self.ip, CALLER_PORT)
        self.settings = os.path.join(world.folder, f"{self.name}.json")
        self.process = None
        listen = {"front": f"{self.ip}:{CALLER_PORT}", "ready": f"{self.ip}:{READY_PORT}"}
        with open(self.settings, "w", encoding="utf8") as file:
            json.dump({
                "node": self.name, "role": "entry", "machine-class": "front", "serves": ["front"],
                "ip": self.ip, "zone": "east", "region": "r", "zones": {"east": "r"},
                "listen": listen, "internal-ports": [FIRST_PORT, FIRST_PORT + 15], "seeds": [],
                "bootstrap": True, "discovery": "platform", "entry": "vip", "heartbeat-ms": 1200,
                "limits": {"cpu-share": 1, "cores": 1, "memory-mb": 110, "max-fds": 4100},
                "data-dir": None, "bounds": BOUNDS,
                "platform": {"address": "%s:%d" % world.store_address, "form": "log"},
            }, file)  # fmt: skip

    def start(self):
        self.log = open(os.path.join(self.world.folder, f"{self.name}.log"), "ab")
        self.process = subprocess.Popen(
            self.world.command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log,
            env={"PATH": os.environ["PATH"], "CARAWAYLINE_NODE_FILE": self.settings},
        )  # fmt: skip
        self.world.record.add(f"platform starts {self.name}")

    def signal(self, number):
        if self.process.poll() is None:
            os.kill(self.process.pid, number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(self.ip, READY_PORT), 0.5)
            writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 0.5)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False


class World:
    def __init__(self, record):
        self.record = record
        self.net, self.guard = claim_network()
        self.temporary = tempfile.TemporaryDirectory(prefix="caraway-review-")
        self.folder = self.temporary.name
        self.store_address = (f"127.{self.net}.0.1", STORE_PORT)
        self.store = store.Store()
        self.tasks = set()
        self.entries = []
        with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf8") as file:
            text = file.read()
        run = text.split("[roles.entry]")[1].split('run = "')[1].split('"')[0]
        self.command = run.split(" ")
        self.command[0] = os.path.join(ROOT, self.command[0])
        if not os.access(self.command[0], os.X_OK):
            raise CannotRun(f"{run.split(' ')[0]} is not built; see the line build in deploy/system.toml")

    def background(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def start(self, config, entries):
        await self.store.start(*self.store_address)
        await self.store.put("keyed.op", "config", config)
        self.record.add(f"operator: configuration {config['version']} is acknowledged")
        self.entries = [Entry(self, number + 1) for number in range(entries)]
        for entry in self.entries:
            entry.start()

    async def wait_ready(self):
        until = time.monotonic() + 20
        for entry in self.entries:
            while not await entry.is_ready():
                if time.monotonic() > until or entry.process.poll() is not None:
                    raise CannotRun(f"{entry.name} is not ready")
                await asyncio.sleep(0.1)
        self.record.add("all entries are ready")

    async def stop(self):
        for entry in self.entries:
            if entry.process is not None:
                entry.signal(signal.SIGCONT)
                entry.signal(signal.SIGKILL)
                entry.process.wait()
                entry.log.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.guard.close()
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
            self.temporary._finalizer.detach()
        else:
            self.temporary.cleanup()


def configuration(routes, services, version=1):
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": name, "health-path": "/health"} for name in services],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                   "header-timeout-ms": 5000, "idle-timeout-ms": 15000},
        "tenants": [{"name": "school", "api-keys": [KEY], "rate-per-s": 0, "burst": 0}],
    }  # fmt: skip


def route(name, kind, service, timeout_ms, target_ms, attempts=1):
    return {
        "name": name, "host": "kit.example", "path-prefix": f"/{name}/", "route-type": kind,
        "service": service, "timeout-ms": timeout_ms, "target-latency-ms": target_ms,
        "priority": 2, "max-attempts": attempts, "gap-aim-ms": 400,
    }  # fmt: skip


def request(method, path, identity, time_left_ms, body=b"", fields=()):
    lines = [f"{method} {path} HTTP/1.1", "Host: kit.example", f"Request-Id: {identity}",
             f"Deadline-Ms: {time_left_ms}", f"Authorization: Bearer {KEY}"]  # fmt: skip
    lines += [f"{name}: {value}" for name, value in fields]
    if method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def main(play, file):
    """Runs play(world, is_troubled); exit status 1: the rule was broken, 0: it held, 2: cannot run."""
    folder = os.path.dirname(os.path.abspath(file))
    record = Record(os.path.join(folder, "record.txt"))

    async def run():
        world = World(record)
        playing = asyncio.ensure_future(play(world, os.environ.get("TROUBLE", "1") != "0"))
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, playing.cancel)
        try:
            return await asyncio.wait_for(playing, 100)
        finally:
            await world.stop()

    # Streams that are collected after the loop has ended have nothing left to close.
    sys.unraisablehook = lambda *_: None
    try:
        is_broken = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:  # pylint: disable=broad-except
        record.add(f"cannot run: {error!r}")
        print(f"cannot run: {error!r}", file=sys.stderr)
        sys.exit(2)
    record.add("the rule was broken" if is_broken else "the rule held")
    sys.exit(1 if is_broken else 0)
