"""Loopback proxy before an endpoint or the store, where faults of the network are injected.

Modes: pass; hold (nothing passes, later it does), up and down (one direction is held), refuse (new
connections are reset), delay (seconds). Existing connections can be reset or silenced for good.
"""

import asyncio

import http1

CHUNK = 16384


class Link:
    def __init__(self, target):
        self.target = target
        self.mode = "pass"
        self.delay = 0.0
        self.open = set()
        self.changed = asyncio.Event()
        self.server = None

    async def start(self, host, port):
        self.server = await asyncio.start_server(self.on_connection, host, port, backlog=512)

    def set_mode(self, mode, delay=0.0):
        self.mode, self.delay = mode, delay
        self.changed.set()
        self.changed = asyncio.Event()

    def reset_all(self):
        for pair in list(self.open):
            pair.reset()

    def silence_all(self):
        for pair in self.open:
            pair.is_silent = True

    async def on_connection(self, reader, writer):
        if self.mode == "refuse":
            http1.set_reset(writer)
            return
        while self.mode in ("hold", "up"):
            await self.changed.wait()
        try:
            far = await asyncio.open_connection(*self.target)
        except OSError:
            http1.set_reset(writer)
            return
        pair = Pair(self, (reader, writer), far)
        self.open.add(pair)
        try:
            await pair.run()
        finally:
            self.open.discard(pair)


class Pair:
    def __init__(self, link, near, far):
        self.link = link
        self.near = near
        self.far = far
        self.is_silent = False

    def reset(self):
        for _, writer in (self.near, self.far):
            http1.set_reset(writer)

    async def run(self):
        await asyncio.gather(
            self.pump(self.near[0], self.far[1], "up"), self.pump(self.far[0], self.near[1], "down")
        )

    async def pump(self, reader, writer, way):
        try:
            while True:
                data = await reader.read(CHUNK)
                while self.link.mode in ("hold", way):
                    await self.link.changed.wait()
                if self.link.mode == "delay":
                    await asyncio.sleep(self.link.delay)
                if not data:
                    break
                if self.is_silent:
                    continue
                writer.write(data)
                await writer.drain()
            if self.is_silent:
                return
            if writer.can_write_eof():
                writer.write_eof()
            if way == "down":
                writer.close()
        except OSError:
            self.reset()
