#!/usr/bin/python3
"""Crowds of clients that nobody controls, against one port of a running caraway-entry or caraway-agent.

Checked as in crowd.py: the process lives, the peak of its memory and its descriptors stay under a bound,
an ordinary request is answered during the crowd and after it, and the memory goes back. crowd_daemon.sh
starts the processes. usage: crowd_daemon.py CASE --pid P --crowd IP:PORT --callers IP:PORT [--tls]
"""

import argparse
import asyncio
import os
import ssl
import sys

import crowd

CLIENTS = 300
MEMORY_MB = 64  # of the process's VM
DESCRIPTORS = 300  # of the process
HEAD_BYTES = 16384
PLAY_SECONDS = 1.0
OUTLIVE_SECONDS = 2.0  # longer than the limits of time in the settings of "half_line" and "refused_head"


def head(method="GET", target="/readyz", fields=b""):
    return f"{method} {target} HTTP/1.1\r\nHost: shop.test\r\nAuthorization: Bearer test-key\r\n".encode() + fields


def filled(start, line, size=HEAD_BYTES - 64):
    """A head without its end, of lines until it has that many bytes."""
    return start + line * ((size - len(start)) // len(line))


def chat(content, fields=b""):
    body = b'{"model":"m","messages":[{"role":"user","content":"hello"}],"max_tokens":1}'
    start = head("POST", "/v1/chat/completions", fields)
    return start + b"Content-Length: %d\r\n\r\n" % len(content or body) + (content or body)


POST = head("POST", "/v1/chat/completions")
UNFINISHED = b"Content-Length: 100\r\n\r\n{"
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"
ORDINARY = chat(b"", b"Connection: close\r\n")

# What each client of a crowd sends, by its number; it reads nothing.
CASES = {
    "half_line": lambda n: filled(head(), b"a:\r\n", 192 + n % 8) + b"x: yyy",
    "refused_head": lambda n: filled(head(), b"x: yyy\r\n", 90000) + b"x: yyy",
    "unended_lines": lambda n: filled(POST, b"a:\r\n"),
    "ended_lines": lambda n: filled(POST, b"a:\r\n") + UNFINISHED,
    "long_names": lambda n: filled(POST, b"n" * 200 + b":\r\n") + UNFINISHED,
    "connection_lines": lambda n: filled(POST, b"Connection: x\r\n") + UNFINISHED,
    "no_colons": lambda n: filled(POST, b"a\r\n") + b"\r\n",
    "long_target": lambda n: head("POST", "/services/orders/" + "?a=&" * 3900) + UNFINISHED,
    "bodies": lambda n: POST + b"Content-Length: 400000\r\n\r\n" + b"x" * 399000,
    "chunk_extensions": lambda n: CHUNKED + (b"1" + b";a" * 4000 + b"\r\nx\r\n") * 12,
    "trailers": lambda n: CHUNKED + b"1\r\nx\r\n0\r\n" + b"a:\r\n" * 3900,
    "pipelined": lambda n: (filled(head("GET", "/nothing"), b"a:\r\n", 4000) + b"\r\n") * 60,
    "silent": lambda n: b"",
    "half_frame": lambda n: bytes(16) + b"\x00\x00\x10\x00" + b"x" * 4000,
    "large_frame": lambda n: bytes(16) + b"\x00\x3f\xff\xff" + b"x" * 100000,
    "half_handshake": lambda n: b"\x16\x03\x01\x40\x00\x01" + b"\x00" * 8000,
    "no_handshake": lambda n: b"GET / HTTP/1.1\r\n" * 20,
}
DISCONNECTED = ("half_line", "refused_head")  # each client leaves at once
MANY = {"silent": 2 * DESCRIPTORS, "descriptors": 2 * DESCRIPTORS}
WITHOUT_TLS = ("half_handshake", "no_handshake")
CASES["descriptors"] = lambda n: b"GET / HTT"


def client_tls():
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    context.verify_mode = ssl.CERT_NONE
    return context


def address(text):
    host, port = text.rsplit(":", 1)
    return host, int(port)


class Crowd:
    def __init__(self, options):
        self.options = options
        self.tls = client_tls() if options.tls else None
        self.failures = []

    def check(self, what, holds):
        if not holds:
            self.failures.append(what)

    def lives(self):
        try:
            with open(f"/proc/{self.options.pid}/stat", encoding="ascii") as file:
                return file.read().rsplit(")", 1)[1].split()[0] != "Z"
        except OSError:
            return False

    def memory(self, name):
        with open(f"/proc/{self.options.pid}/status", encoding="ascii") as file:
            return next(int(line.split()[1]) / 1024 for line in file if line.startswith(name + ":"))

    async def until(self, probe):
        loop = asyncio.get_running_loop()
        end = loop.time() + crowd.PATIENCE
        while loop.time() < end and self.lives():
            if await probe():
                return True
            await asyncio.sleep(0.1)
        return False

    async def is_served(self):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(*address(self.options.callers), ssl=self.tls), 5)  # fmt: skip
            try:
                writer.write(ORDINARY)
                line = await asyncio.wait_for(reader.readline(), 5)
                return line.split()[1:2] == [b"200"]
            finally:
                writer.close()
        except (OSError, asyncio.TimeoutError):
            return False

    async def send(self, number):
        tls = None if self.options.case in WITHOUT_TLS or self.options.crowd != self.options.callers else self.tls
        try:
            _, writer = await asyncio.wait_for(
                asyncio.open_connection(*address(self.options.crowd), limit=1024, ssl=tls), 5)  # fmt: skip
            writer.write(CASES[self.options.case](number))
            writer.transport.pause_reading()
            return writer
        except (OSError, asyncio.TimeoutError):
            return None

    async def play(self):
        case = self.options.case
        self.check("an ordinary request is answered before", await self.until(self.is_served))
        if not self.lives():
            return
        before = self.memory("VmRSS")
        clients = self.options.clients or MANY.get(case, CLIENTS)
        writers = [writer for writer in [await self.send(n) for n in range(clients)] if writer is not None]
        if case in DISCONNECTED:
            await asyncio.sleep(0.1)
            for writer in writers:
                writer.transport.abort()
            await asyncio.sleep(OUTLIVE_SECONDS)
        else:
            await asyncio.sleep(PLAY_SECONDS)
        descriptors = len(os.listdir(f"/proc/{self.options.pid}/fd")) if self.lives() else 0
        self.check("an ordinary request is answered during the crowd", await self.until(self.is_served))
        for writer in writers:
            writer.transport.abort()
        self.check("an ordinary request is answered after", await self.until(self.is_served))
        self.check("the process lives", self.lives())
        if not self.lives():
            return

        async def is_back():
            return self.memory("VmRSS") <= before + crowd.AFTER_MB

        self.check("the memory goes back", await self.until(is_back))
        peak, after = self.memory("VmHWM"), self.memory("VmRSS")
        bound = crowd.PEAK_SHARE * MEMORY_MB
        self.check(f"a peak of {peak:.1f} MB is at most {bound:.1f} MB", peak <= bound)
        self.check(f"{descriptors} descriptors are at most {DESCRIPTORS}", descriptors <= DESCRIPTORS)
        print(f"{self.options.name}: start {before:.1f} MB, peak {peak:.1f} MB, after {after:.1f} MB, "
              f"descriptors {descriptors}")  # fmt: skip


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("case", choices=sorted(CASES))
    parser.add_argument("--pid", type=int, required=True)
    parser.add_argument("--crowd", required=True)
    parser.add_argument("--callers", required=True)
    parser.add_argument("--tls", action="store_true")
    parser.add_argument("--clients", type=int)
    parser.add_argument("--name")
    options = parser.parse_args()
    options.name = options.name or options.case
    played = Crowd(options)
    asyncio.run(played.play())
    for failure in played.failures:
        print(f"FAILED: {options.name}: {failure}")
    sys.stdout.flush()
    os._exit(1 if played.failures else 0)  # without the transports' leftovers


if __name__ == "__main__":
    main()
