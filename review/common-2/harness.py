"""Stand-ins and helpers for the scripts of the second review. Standard library only.

The store, the workers, the load balancer and the clients follow the users' pages; each listens on a
loopback address of its own, so that all VMs can use the same ports, as in a deployment.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
NODE = os.path.join(ROOT, "target", "build", "caraway-node")
CLIENT_PORT, READY_PORT, PEER_PORT, STORE_PORT, WORKER_PORT = 8221, 8224, 7600, 8225, 8228
HEARTBEAT = 1.2  # seconds between writes of a registration
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes


class CannotRun(Exception):
    """The case could not be played on this machine."""


# HTTP, as far as the stand-ins need it.


class Request:
    def __init__(self, method, target, head, body, reader, writer):
        self.method, self.target, self.head, self.body = method, target, head, body
        self.reader, self.writer = reader, writer

    def is_abandoned(self):
        return self.reader.at_eof() or self.writer.is_closing()

    async def respond(self, status, fields=None, body=b""):
        lines = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in (fields or {}).items()]
        lines += [f"Content-Length: {len(body)}", "", ""]
        self.writer.write("\r\n".join(lines).encode() + body)
        await self.writer.drain()


async def read_head(reader):
    """First line and fields of a message; None at the end of the connection."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *rows = text.split("\r\n")[:-2]
    return first, {name.strip().lower(): value.strip() for name, _, value in (row.partition(":") for row in rows)}


async def serve(host, port, on_request, on_connect=None):
    async def on_connection(reader, writer):
        try:
            if on_connect is not None:
                on_connect(writer)
            while True:
                first, head = await read_head(reader)
                method, target, _ = first.split(" ", 2)
                body = await reader.readexactly(int(head.get("content-length", "0")))
                await on_request(Request(method, target, head, body, reader, writer))
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(on_connection, host, port, backlog=512)


class Answer:
    def __init__(self):
        self.status = 0  # 0: none
        self.head = {}
        self.body = b""
        self.is_complete = False
        self.error = ""


async def read_answer(reader, answer, pace=None):
    """pace(count): waits before more bytes are read."""

    async def take(count):
        if pace is None:
            return await reader.readexactly(count)
        parts = []
        while count > 0:
            part = await reader.read(min(count, 4096))
            if not part:
                raise asyncio.IncompleteReadError(b"", count)
            parts.append(part)
            count -= len(part)
            await pace(len(part))
        return b"".join(parts)

    first, answer.head = await read_head(reader)
    answer.status = int(first.split()[1])
    if "chunked" in answer.head.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readline()).strip() or b"-1", 16)
            if size < 0:
                raise asyncio.IncompleteReadError(b"", None)
            answer.body += await take(size)
            await reader.readexactly(2)
            if size == 0:
                break
    else:
        left = int(answer.head.get("content-length", "0"))
        while left > 0:
            part = await take(min(left, 4096))
            answer.body += part
            left -= len(part)
    answer.is_complete = True


def request_bytes(method, target, fields, body=b""):
    lines = [f"{method} {target} HTTP/1.1"] + [f"{name}: {value}" for name, value in fields.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Connection:
    """A client's channel to an entry."""

    def __init__(self):
        self.reader = self.writer = None

    async def open(self, address, options=()):
        sock = socket.socket()
        sock.setblocking(False)
        for level, name, value in options:
            sock.setsockopt(level, name, value)
        await asyncio.wait_for(asyncio.get_running_loop().sock_connect(sock, address), 1)
        self.reader, self.writer = await asyncio.open_connection(sock=sock, limit=2**14)

    async def ask(self, data, time_limit, pace=None):
        answer = Answer()
        try:
            self.writer.write(data)
            await asyncio.wait_for(read_answer(self.reader, answer, pace), time_limit)
        except asyncio.TimeoutError:
            answer.error = "no whole answer within the time limit"
        except (OSError, asyncio.IncompleteReadError, ValueError, IndexError) as error:
            answer.error = f"channel ended: {type(error).__name__}"
        return answer

    def close(self):
        if self.writer is not None:
            self.writer.close()


# The platform's store.


class Store:
    def __init__(self):
        self.topics = {}
        self.changed = None
        self.note = lambda text: None
        self.on_append = None  # called with the topic, the key and the value of what the system writes

    async def start(self, host):
        self.changed = asyncio.Condition()
        await serve(host, STORE_PORT, self.on_request)

    def rows(self, topic):
        return self.topics.setdefault(topic, [])

    async def put(self, topic, key, value):
        """A record of the operator or of a worker; None drops the key. The return is the acknowledgement."""
        content = bytes([len(key)]) + key.encode() + (b"" if value is None else json.dumps(value).encode())
        await self.append(topic, [content])

    async def append(self, topic, records):
        rows = self.rows(topic)
        rows.extend(records)
        async with self.changed:
            self.changed.notify_all()

    async def on_request(self, call):
        url = urllib.parse.urlsplit(call.target)
        query = {name: values[0] for name, values in urllib.parse.parse_qs(url.query).items()}
        topic = query.get("topic", "")
        if url.path == "/v1/log-append":
            return await self.on_write(call, topic, query)
        if url.path == "/v1/log-read":
            return await self.on_read(call, topic, query)
        if url.path == "/v1/log-newest":
            return await self.on_newest(call, topic, query)
        return await call.respond(404)

    async def on_write(self, call, topic, query):
        if topic in ("keyed.op", "keyed.servers"):
            return await call.respond(403)
        records, rest = [], call.body
        while rest:
            (size,) = struct.unpack(">I", rest[:4])
            records.append(rest[4 : 4 + size])
            rest = rest[4 + size :]
        end = len(self.rows(topic))
        if "at" in query and int(query["at"]) != end:
            return await call.respond(412, {}, json.dumps({"end": end}).encode())
        await self.append(topic, records)
        if self.on_append is not None:
            for record in records:
                self.on_append(topic, record[1 : 1 + record[0]].decode(), record[1 + record[0] :])
        return await call.respond(200, {}, json.dumps({"offset": end, "end": end + len(records)}).encode())

    async def on_read(self, call, topic, query):
        start = int(query.get("from", "0"))
        async with self.changed:
            try:
                due = self.changed.wait_for(lambda: len(self.rows(topic)) > start)
                await asyncio.wait_for(due, int(query.get("wait-ms", "0")) / 1000)
            except asyncio.TimeoutError:
                pass
        rows = self.rows(topic)
        body = struct.pack(">QQ", len(rows), 0)
        body += b"".join(struct.pack(">I", len(row)) + row for row in rows[start : start + 2000])
        return await call.respond(200, {}, body)

    async def on_newest(self, call, topic, query):
        newest = {}
        for offset, row in enumerate(self.rows(topic)):
            newest[row[1 : 1 + row[0]].decode()] = (row[1 + row[0] :], offset)
        keys = sorted(key for key, (value, _) in newest.items() if value and key > query.get("after", ""))
        items = [
            {"key": key, "value": base64.b64encode(newest[key][0]).decode(), "offset": newest[key][1]}
            for key in keys[:500]
        ]
        answer = {"items": items, "has-more": len(keys) > 500, "end": len(self.rows(topic))}
        return await call.respond(200, {}, json.dumps(answer).encode())


# Workers.


class Worker:
    """A worker of a plain service. on_run(worker, call) answers a request that it runs."""

    def __init__(self, store, host, service, version, slots, on_run, queue=24):
        self.store, self.host, self.service, self.version, self.slots = store, host, service, version, slots
        self.id = "i-" + host.replace(".", "-")
        self.on_run, self.queue = on_run, queue
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.running = self.waiting = 0
        self.runs = 0
        self.writers = set()
        self.server = self.heart = self.places = None
        self.on_arrival = None  # called with each request that reaches the worker

    async def start(self):
        self.places = asyncio.Semaphore(self.slots)
        self.server = await serve(self.host, WORKER_PORT, self.on_request, self.writers.add)
        self.heart = asyncio.create_task(self.beat())

    async def beat(self):
        while True:
            await self.register()
            await asyncio.sleep(HEARTBEAT)

    async def register(self):
        self.sequence += 1
        await self.store.put("keyed.servers", self.id, {
            "service": self.service, "address": f"{self.host}:{WORKER_PORT}", "zone": "zone-a",
            "version": self.version, "slots": self.slots, "state": self.state, "cold-remaining-ms": 0,
            "seq": self.sequence, "born": self.born,
        })

    def stop(self):
        """Ends at once, without draining."""
        self.heart.cancel()
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    def fields(self, call, is_run):
        fields = {"Server-Load": f"{self.running},{self.waiting},{self.slots}"}
        if "request-id" in call.head:
            fields["Request-Id"] = call.head["request-id"]
        if is_run:
            self.runs += 1
            self.store.note(f"{self.id} ran {call.head.get('request-id')} {call.method} {call.target}")
            fields["Response-Stamp"] = f"{self.id}.{self.runs}"
        else:
            fields["Not-Executed"] = "1"
        return fields

    async def on_request(self, call):
        if call.target == "/health":
            return await call.respond(200, {"Instance-Id": self.id})
        if self.on_arrival is not None:
            self.on_arrival(self, call)
        if call.head.get("expect-instance", self.id) != self.id:
            return await call.respond(421, self.fields(call, False))
        if self.waiting >= self.queue:
            return await call.respond(503, self.fields(call, False))
        self.waiting += 1
        await self.places.acquire()
        self.waiting -= 1
        self.running += 1
        try:
            if not call.is_abandoned():
                await self.on_run(self, call)
        finally:
            self.running -= 1
            self.places.release()


class Engine(Worker):
    """A model worker: streams events. A start is a new incarnation under a new id."""

    PREFILL_PER_MS = 40.8  # prompt tokens
    EVENT_PAUSE = 0.02  # seconds

    def __init__(self, store, host, service, slots):
        super().__init__(store, host, service, "v1", slots, Engine.stream, queue=36)
        self.number = 0

    async def start(self):
        self.number += 1
        self.id = f"i-{self.host.replace('.', '-')}-{self.number}"
        self.born = int(time.time() * 1000)
        self.sequence = self.running = self.waiting = 0
        self.writers = set()
        await super().start()

    async def crash(self, back_after):
        """All channels are reset and new ones refused; comes back as a new incarnation."""
        lost = self.id
        self.stop()
        asyncio.ensure_future(self.lapse(lost))
        await asyncio.sleep(back_after)
        await self.start()

    async def lapse(self, lost):
        """The store removes an entry after three intervals of silence."""
        await asyncio.sleep(3 * HEARTBEAT)
        await self.store.put("keyed.servers", lost, None)

    async def on_request(self, call):
        if call.target != "/v1/report":
            return await super().on_request(call)
        report = {"stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}], "busy": False, "seq": 0,
                  "queued": self.waiting, "running": self.running, "kv-used": 1000 * self.running, "kv-total": 259819,
                  "handles": 0, "born": self.born, "state": self.state}
        return await call.respond(200, {"Content-Type": "application/json"}, json.dumps(report).encode())

    async def stream(self, call):
        prompt, output = (int(part) for part in call.head["token-counts"].split(","))
        await asyncio.sleep(prompt / self.PREFILL_PER_MS / 1000)
        fields = {**self.fields(call, True), "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        lines = ["HTTP/1.1 200 OK"] + [f"{name}: {value}" for name, value in fields.items()] + ["", ""]
        call.writer.write("\r\n".join(lines).encode())
        for number in range(1, max(output // 4, 1) + 1):
            event = f"id: {number}\ndata: {call.head['request-id']} {number}\n\n".encode()
            call.writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await call.writer.drain()
            await asyncio.sleep(self.EVENT_PAUSE)
            if call.is_abandoned():
                return
        call.writer.write(b"0\r\n\r\n")
        await call.writer.drain()


# The processes of the system.


class Node:
    """An entry or an agent, started as in the deploy file."""

    def __init__(self, role, name, host, folder, store_host, memory_mb=110, more=None):
        self.role, self.name, self.host = role, name, host
        self.settings = os.path.join(folder, f"{name}.json")
        self.log = os.path.join(folder, f"{name}.log")
        self.process = None
        self.misses = 2
        settings = {
            "node": name, "role": role, "machine-class": "front" if role == "entry" else "side",
            "serves": ["front" if role == "entry" else "side"], "ip": host,
            "zone": "zone-a", "region": "region-a", "zones": {"zone-a": "region-a"},
            "listen": {"front": f"{host}:{CLIENT_PORT}", "ready": f"{host}:{READY_PORT}"} if role == "entry" else {},
            "internal-ports": [PEER_PORT, PEER_PORT + 15], "seeds": [], "bootstrap": True,
            "limits": {"cpu-share": 0.19, "cores": 1, "memory-mb": memory_mb, "max-fds": 4100,
                       "link-mbps": 1000.0, "disk-mb": 0},
            "data-dir": None, "discovery": "platform", "entry": "vip", "heartbeat-ms": 1200,
            "bounds": BOUNDS,
            "platform": {"address": f"{store_host}:{STORE_PORT}", "form": "log", "writes-per-s": 400,
                         "reads-per-s": 2000, "parts": 8, "append-ms": 4.0, "record-bytes": 262144,
                         "call-bytes": 2097152, "keep_s": 300, "part-mb": 200, "ttl-min-ms": 1000},
            **(more or {}),
        }
        with open(self.settings, "w", encoding="utf8") as file:
            json.dump(settings, file)

    @property
    def address(self):
        return (self.host, CLIENT_PORT)

    def start(self):
        """As in the deploy file, in the repository's root, with the settings' path in the environment."""
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen([NODE, self.role], cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                                            env={**kept, "CARAWAYLINE_NODE_FILE": self.settings})

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            os.kill(self.process.pid, number)

    def kill(self):
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    async def ask_ready(self):
        channel = Connection()
        try:
            await channel.open((self.host, READY_PORT))
            answer = await channel.ask(request_bytes("GET", "/v1/ready", {"Host": "ready"}), 0.5)
            is_ready = answer.status == 200
        except (OSError, asyncio.TimeoutError):
            is_ready = False
        finally:
            channel.close()
        self.misses = 0 if is_ready else self.misses + 1
        return is_ready

    def memory_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="ascii") as file:
                rows = dict(line.split(":", 1) for line in file if ":" in line)
            return int(rows["VmRSS"].split()[0]) / 1024
        except (OSError, KeyError):
            return 0.0


BOUNDS = {
    "seed-lag-s": 3, "reuse-after-s": 2, "stable-window-ms": 3000, "ack-ms": 4000, "catch-up-s": 4, "drain-ms": 2000,
    "grace-s": 8, "loss-slack-ms": 200, "config-apply-ms": 2000, "downgrade-slack-ms": 250, "max-stretch-ms": 5000,
    "enforce-revoke": True, "revoke-ms": 5000, "retry-budget-ratio": 0.2, "budget-window-s": 10, "budget-extra": 56,
    "quota-window-s": 8, "quota-overage": 0.1, "quota-slack": 110000, "exposure-share": 0.1, "exposure-slack": 50,
    "rollback-ms": 5000, "recover-s": 12, "pass-ms": 120, "again-s": 7.1,
}


class Case:
    """One play: its folder, its addresses, its record and its processes."""

    def __init__(self, folder):
        self.folder = os.path.abspath(folder)
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self.store = Store()
        self.store.note = self.note
        self.entries = []
        self.agents = []
        self.begun = time.monotonic()
        self.record_file = open(os.path.join(self.folder, "record.txt"), "w", encoding="utf8")
        self.ids = 0

    def host(self, number):
        return f"{self.net}.{number}"

    def now(self):
        return time.monotonic() - self.begun

    def note(self, text):
        if self.record_file.closed:
            return
        self.record_file.write(f"{self.now():8.3f} {text}\n")
        self.record_file.flush()

    def say(self, text):
        self.note(text)
        print(text, flush=True)

    def next_id(self):
        self.ids += 1
        return f"{random.getrandbits(32):08x}{self.ids:08x}"

    def add_entries(self, count, **more):
        for number in range(1, count + 1):
            name = f"front-zone-a-{number}"
            self.entries.append(Node("entry", name, self.host(10 + number), self.temporary.name, self.host(2), **more))

    def add_agents(self, hosts):
        for number, host in enumerate(hosts, 1):
            more = {"app": f"{host}:{WORKER_PORT}"}
            self.agents.append(Node("agent", f"side-zone-a-{number}", host, self.temporary.name, self.host(2), 192, more))

    def nodes(self):
        return self.entries + self.agents

    async def start_entries(self):
        if not os.access(NODE, os.X_OK):
            raise CannotRun("target/build/caraway-node is missing: run the build of the deploy file first")
        for node in self.nodes():
            node.start()
        until = time.monotonic() + 10
        while not all([await entry.ask_ready() for entry in self.entries]):
            if time.monotonic() > until:
                raise CannotRun("the entries did not become ready within 10 s")
            await asyncio.sleep(0.1)
        self.note("all entries are ready")

    async def balance(self):
        """Asks all entries once a second whether they are ready."""
        while True:
            await asyncio.gather(*(entry.ask_ready() for entry in self.entries))
            await asyncio.sleep(1)

    def choose_entry(self):
        ready = [entry for entry in self.entries if entry.misses < 2]
        return random.choice(ready or self.entries)

    def note_log_lines(self, *marks):
        """Copies what the entries logged of some events into the record, at most 40 lines an entry."""
        for entry in self.entries:
            with open(entry.log, encoding="utf8", errors="replace") as file:
                lines = [line.strip() for line in file if any(mark in line for mark in marks)]
            for line in lines[:40]:
                self.note(line)

    def end(self):
        for node in self.nodes():
            node.kill()
        self.record_file.close()
        self.temporary.cleanup()


def play(folder, run):
    """Runs the case and exits with its result. run(case) returns the reasons why the rule is broken."""
    case = Case(folder)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))

    async def whole():
        await case.store.start(case.host(2))
        return await asyncio.wait_for(run(case), 110)

    try:
        broken = asyncio.run(whole())
    except (CannotRun, OSError, asyncio.TimeoutError) as error:
        case.say(f"could not run: {error!r}")
        code = NOT_RUN
    else:
        for text in broken:
            case.say(f"BROKEN: {text}")
        case.say("the rule was broken" if broken else "the rule held")
        code = BROKEN if broken else HELD
    finally:
        for entry in case.nodes():
            if code_of_failure(entry):
                case.note(f"{entry.name} had ended by itself with {entry.process.returncode}")
        case.end()
    sys.exit(code)


def code_of_failure(entry):
    return entry.process is not None and entry.process.poll() not in (None, 0, -signal.SIGKILL)
