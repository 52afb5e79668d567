#!/usr/bin/python3
"""Crowds of clients that nobody controls, each against a fresh caraway-node, entry or agent, as a real process.

Checked is what doesn't depend on the machine's speed: the process lives, the peak of its memory and
its descriptors stay under a bound, an ordinary request is answered during the crowd and after it,
and the memory goes back. usage: crowd.py PROGRAM CASE [--clients N] [--memory-mb M] [--descriptors D]
"""

import argparse
import asyncio
import json
import os
import random
import resource
import socket
import struct
import sys
import tempfile

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "soak"))
import nodes  # noqa: E402
import world  # noqa: E402

CLIENTS = 100
MEMORY_MB = 32  # of the entry's VM
DESCRIPTORS = 300  # of the entry's VM
FEW_DESCRIPTORS = 100  # in the cases "descriptors" and "body_parts"
MANY_DESCRIPTORS = 900  # in the case "small_bodies", of more connections than the memory has room for
PEAK_SHARE = 0.75  # of the VM's memory that the process may use
AFTER_MB = 6  # above the start that the process may keep after the crowd
HEAD_BYTES = 16384  # max-header-bytes
PATIENCE = 60.0  # seconds; only a hang takes this long
SIZES = {"entries": 1, "engines": 0, "services": 1, "callers": 0, "crashers": 0, "tainted": 0, "no_agents": True}


def head(number, target="/safe-status/x", method="GET"):
    return (
        f"{method} {target} HTTP/1.1\r\nHost: shop.test\r\nRequest-Id: crowd-{number}\r\n"
        "Deadline-Ms: 5000\r\nAuthorization: Bearer key-2\r\n"
    ).encode()


def filled(number, line, size=HEAD_BYTES - 64):
    """A head without its end, of lines until it has that many bytes."""
    start = head(number)
    return start + line * ((size - len(start)) // len(line))


def distinct_options(number):
    """As many connection options as fields that they don't name."""
    options = b",".join(b"%x" % value for value in range(1500))
    fields = b"".join(b"z%x:\r\n" % value for value in range(1100))
    return head(number) + b"Connection: " + options + b"\r\n" + fields


def datagrams(number):
    """A claim of very many messages, claims of long texts in each kind of message, noise."""
    start = struct.pack("<BQQ", 1, number, 1)
    claims = [start + struct.pack("<Q", count) for count in (1 << 20, 1 << 24, 1 << 33, (1 << 64) - 1)]
    for kind in range(24):
        for offset in (0, 4, 8, 16, 24):
            claims.append(start + struct.pack("<Qi", 1, kind) + bytes(offset) + struct.pack("<Q", 1 << 26))
    noise = random.Random(number)
    return claims + [noise.randbytes(noise.randint(0, 1400)) for _ in range(50)]


END = b"\r\n"
# What each client of a crowd sends, by its number; it reads nothing.
CASES = {
    "unended_lines": lambda n: filled(n, b"a:\r\n"),
    "ended_lines": lambda n: filled(n, b"a:\r\n") + END,
    "long_names": lambda n: filled(n, b"n" * 200 + b":\r\n") + END,
    "connection_lines": lambda n: filled(n, b"Connection: x\r\n") + END,
    "connection_options": lambda n: distinct_options(n) + END,
    "prompt_parts": lambda n: filled(n, b"Prompt-Prefix: " + b"1," * 500 + b"2\r\n") + END,
    "no_colons": lambda n: filled(n, b"a\r\n") + END,
    "long_target": lambda n: head(n, "/safe-status/?" + "a=&" * 5000) + END,
    "pipelined": lambda n: (filled(n, b"a:\r\n", 4000) + END) * 60,
    "chunk_extensions": lambda n: head(n, "/unsafe-order/x", "POST")
    + b"Transfer-Encoding: chunked\r\n\r\n" + (b"1" + b";a" * 4000 + b"\r\nx\r\n") * 12,
    "trailers": lambda n: head(n, "/unsafe-order/x", "POST")
    + b"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n" + b"a:\r\n" * 3500,
    "ready_page": lambda n: filled(n, b"a:\r\n"),
    "metrics_page": lambda n: filled(n, b"a:\r\n"),
    "descriptors": lambda n: b"GET / HTT",
    "body_parts": lambda n: head(n, "/unsafe-order/x", "POST") + b"Content-Length: 1000\r\n\r\nx",
    "small_bodies": lambda n: head(n, "/unsafe-order/x", "POST") + b"Content-Length: 64000\r\n\r\n" + b"x" * 63000,
    "peer_datagrams": datagrams,
    "agent_datagrams": datagrams,
    "agent_page": lambda n: filled(n, b"a:\r\n"),
}  # fmt: skip
PORTS = {"ready_page": nodes.READY_PORT, "metrics_page": nodes.METRICS_PORT, "agent_page": nodes.METRICS_PORT}
CLIENT_COUNTS = {"small_bodies": 600}
DESCRIPTOR_COUNTS = {"descriptors": FEW_DESCRIPTORS, "body_parts": FEW_DESCRIPTORS, "small_bodies": MANY_DESCRIPTORS}


def status_of(process, name):
    with open(f"/proc/{process.pid}/status", encoding="ascii") as file:
        return next(int(line.split()[1]) / 1024 for line in file if line.startswith(name + ":"))


class Crowd:
    def __init__(self, options, folder):
        self.options = options
        self.is_agent = options.case.startswith("agent_")
        sizes = {**SIZES, "engines": 1, "no_agents": False} if self.is_agent else SIZES
        self.world = world.World(1, sizes, os.path.abspath(options.program), folder)
        self.entry = self.world.entries[0]
        self.target = self.world.agents[0] if self.is_agent else self.entry
        self.failures = []
        self.count = 0

    def check(self, what, holds):
        if not holds:
            self.failures.append(what)

    async def start(self):
        await self.world.store.start(*self.world.store_address)
        limits = self.world.config["limits"]
        limits.update({"header-timeout-ms": 60000, "idle-timeout-ms": 60000, "max-header-bytes": HEAD_BYTES})
        await self.world.put_config(lambda config: None)
        for endpoint in self.world.endpoints:
            self.answer_anything(endpoint)
            await endpoint.start()
        for node in self.world.agents + self.world.entries:
            await self.start_node(node)
        self.check("the entry becomes ready", await self.until(self.entry.ask_ready))
        self.check("an ordinary request is answered before", await self.until(self.is_served))

    async def start_node(self, node):
        """With the limits of the VM, where the crowd meets this process."""
        await node.prepare(world.STORE_PORT)
        own = resource.getrlimit(resource.RLIMIT_NOFILE)
        if node is self.target:
            with open(node.settings_path, encoding="utf8") as file:
                settings = json.load(file)
            settings["limits"] = {"memory-mb": self.options.memory_mb, "max-fds": self.options.descriptors}
            with open(node.settings_path, "w", encoding="utf8") as file:
                json.dump(settings, file)
            resource.setrlimit(resource.RLIMIT_NOFILE, (self.options.descriptors, own[1]))
        node.start()
        resource.setrlimit(resource.RLIMIT_NOFILE, (own[1], own[1]))

    def answer_anything(self, endpoint):
        """Requests that the soak's ledger doesn't know; their runs are not checked here."""

        async def run(call, stamp):
            await endpoint.pause(call, 0.02)
            if endpoint.is_engine:
                events = {**endpoint.head(call, stamp), "Content-Type": "text/event-stream"}
                await call.answer(200, events, b"id: 1\ndata: x\n\n")
            else:
                await call.answer(200, endpoint.head(call, stamp), b"x" * 1000)

        endpoint.run = run
        endpoint.note = lambda *_: None

    async def until(self, probe):
        loop = asyncio.get_running_loop()
        end = loop.time() + PATIENCE
        while loop.time() < end and self.entry.process.poll() is None and self.target.process.poll() is None:
            if await probe():
                return True
            await asyncio.sleep(0.1)
        return False

    async def ask(self, request):
        """The status of one request on a connection of its own; nothing where it is not answered."""
        try:
            reader, writer = await asyncio.open_connection(*self.entry.callers)
            try:
                writer.write(request)
                line = await asyncio.wait_for(reader.readline(), 5)
                return line.split()[1:2]
            finally:
                writer.close()
        except (OSError, asyncio.TimeoutError):
            return []

    async def is_served(self):
        self.count += 1
        if self.is_agent:  # the other service has no agents
            return await self.ask(head(f"own{self.count}", "/stream-chat/x") + END) == [b"200"]
        return await self.ask(head(f"own{self.count}") + END) == [b"200"]

    async def is_long_head_served(self):
        self.count += 1
        return await self.ask(head(f"own{self.count}") + b"a:\r\n" * 4000 + END) == [b"200"]

    async def send(self, number):
        sent = CASES[self.options.case](number)
        if isinstance(sent, list):
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
                for datagram in sent:
                    sender.sendto(datagram, (self.target.ip, nodes.FIRST_PORT))
            return None
        try:
            port = PORTS.get(self.options.case, nodes.CALLER_PORT)
            _, writer = await asyncio.open_connection(self.target.ip, port, limit=1024)
            writer.write(sent)
            writer.transport.pause_reading()
            return writer
        except OSError:
            return None

    async def play(self):
        await self.start()
        process = self.target.process
        before = status_of(process, "VmRSS")
        for endpoint in self.world.endpoints:
            endpoint.slowness = 100.0  # what is sent on stays there for a while
        writers = [await self.send(number) for number in range(self.options.clients)]
        await asyncio.sleep(1.0)
        for endpoint in self.world.endpoints:
            endpoint.slowness = 1.0
        self.check("an ordinary request is answered during the crowd", await self.until(self.is_served))
        alive = process.poll() is None
        descriptors = len(os.listdir(f"/proc/{process.pid}/fd")) if alive else 0
        for writer in writers:
            if writer is not None:
                writer.transport.abort()
        self.check("the process lives", process.poll() is None)
        self.check("an ordinary request is answered after", await self.until(self.is_served))
        if self.options.case == "ended_lines":
            self.check("a single request of 4,000 lines is served", await self.until(self.is_long_head_served))
        if process.poll() is None:
            async def is_back():
                return status_of(process, "VmRSS") <= before + AFTER_MB
            self.check("the memory goes back", await self.until(is_back))
            peak, after = status_of(process, "VmHWM"), status_of(process, "VmRSS")
            bound = PEAK_SHARE * self.options.memory_mb
            self.check(f"a peak of {peak:.1f} MB is at most {bound:.1f} MB", peak <= bound)
            self.check(f"{descriptors} descriptors are fewer than {self.options.descriptors}",
                       descriptors < self.options.descriptors)  # fmt: skip
            print(f"{self.options.case}: start {before:.1f} MB, peak {peak:.1f} MB, after {after:.1f} MB, "
                  f"descriptors {descriptors}")  # fmt: skip
        return self.failures


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("program")
    parser.add_argument("case", choices=sorted(CASES))
    parser.add_argument("--clients", type=int)
    parser.add_argument("--memory-mb", type=int, default=MEMORY_MB)
    parser.add_argument("--descriptors", type=int)
    options = parser.parse_args()
    if options.clients is None:
        options.clients = CLIENT_COUNTS.get(options.case, CLIENTS)
    if options.descriptors is None:
        options.descriptors = DESCRIPTOR_COUNTS.get(options.case, DESCRIPTORS)

    async def run(folder):
        crowd = Crowd(options, folder)
        try:
            return await crowd.play()
        finally:
            for node in crowd.world.entries + crowd.world.agents:
                node.kill()

    with tempfile.TemporaryDirectory() as folder:
        failures = asyncio.run(run(folder))
    for failure in failures:
        print(f"FAILED: {options.case}: {failure}")
    os._exit(1 if failures else 0)  # without the world's tasks


if __name__ == "__main__":
    main()
