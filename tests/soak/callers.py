"""Callers: each keeps a connection to an entry and goes on using it until the entry is gone."""

import asyncio
import dataclasses
import time

import h11

import http1
import ledger

PAUSE = 0.25  # mean seconds between two requests of one caller
CONNECT = 1.0  # seconds
MOST_RETRIES = 1
LONG_BODY, LONG_SHARE = 400_000, 0.3  # bytes; of the requests that may run once, while endpoints answer early


@dataclasses.dataclass
class Answer:
    status: int = 0
    head: dict = dataclasses.field(default_factory=dict)
    body: bytes = b""


class Caller:
    is_crashing = False

    def __init__(self, name, key, world):
        self.name = name
        self.key = key
        self.world = world
        self.entry = None
        self.connection = None
        self.reader = self.writer = None
        self.count = 0

    async def run(self):
        while not self.world.is_over:
            await asyncio.sleep(self.world.random.expovariate(1 / PAUSE))
            retry_after = await self.ask(*self.world.draw_route())
            if retry_after is not None:
                await asyncio.sleep(min(retry_after, 1.0))
        self.drop()

    def drop(self):
        if self.writer is not None:
            self.writer.close()
        self.connection = self.reader = self.writer = None

    async def connect(self):
        self.entry = self.world.pick_entry()
        if self.entry is None:
            return False
        try:
            opening = asyncio.open_connection(*self.entry.callers)
            self.reader, self.writer = await asyncio.wait_for(opening, CONNECT)
        except (OSError, asyncio.TimeoutError):
            return False
        self.connection = h11.Connection(h11.CLIENT)
        return True

    def content(self, kind):
        body = b"" if kind == "safe" else f"{self.name} asks {self.count} ".encode()
        if kind == "unsafe" and self.world.long_body_faults and self.world.random.random() < LONG_SHARE:
            body *= LONG_BODY // len(body)
        return str(self.count), body

    def parts(self, request):
        """The parts of the prompt, the last one its own; none where no part crashes endpoints."""
        if not self.world.has_tainted:
            return []
        request.is_sound = True
        return [("Prompt-Prefix", f"{ledger.SHARED_PART}:60,{ledger.digest(request.id.encode())}:40")]

    async def ask(self, route, prefix, time_left):
        """One request; the time to wait before the next where it was refused."""
        if self.connection is None and not await self.connect():
            return 0.2
        self.count += 1
        kind = route.split("-")[0]
        suffix, body = self.content(kind)
        request = ledger.Request(
            id=f"{self.name}-{self.count}",
            method="GET" if kind == "safe" else "POST",
            path=prefix + suffix,
            body=body,
            route=route,
            key=self.key,
            entry=self.entry.name,
            deadline=time.monotonic() + time_left,
            process=self.entry.process.pid,
            is_crashing=self.is_crashing,
        )
        self.world.ledger.requests[request.id] = request
        patience = time_left if self.world.random.random() > 0.02 else 0.1
        try:
            return await asyncio.wait_for(self.exchange(request, kind, time_left), patience)
        except asyncio.TimeoutError:
            request.gone = time.monotonic()
            self.drop()
        except (OSError, EOFError, h11.ProtocolError) as error:
            if isinstance(error, h11.RemoteProtocolError) and not self.reader.at_eof():
                self.world.ledger.find("MIXED", f"{request.id} got bytes from {request.entry} that are no answer: {error}")
            self.world.ledger.on_lost(request, False)
            self.drop()
        return None

    async def exchange(self, request, kind, time_left):
        headers = [
            ("Host", "shop.test"),
            ("Request-Id", request.id),
            ("Deadline-Ms", str(int(time_left * 1000))),
            ("Authorization", f"Bearer {request.key}"),
        ]
        if kind == "stream":
            prompt = self.world.random.randrange(50, 3000)
            headers += [("Token-Counts", f"{prompt},{self.world.random.randrange(1, 30)}")]
            headers += self.parts(request)
        if request.body:
            headers += [("Content-Length", str(len(request.body)))]
        sent = self.connection.send(
            h11.Request(method=request.method, target=request.path, headers=headers)
        )
        if request.body:
            sent += self.connection.send(h11.Data(data=request.body))
        self.writer.write(sent + self.connection.send(h11.EndOfMessage()))
        self.world.ledger.on_sent(request)
        await self.writer.drain()
        return await self.read_answer(request)

    async def read_answer(self, request):
        answer = Answer()
        try:
            await self.read_whole(answer)
        except (OSError, EOFError, h11.ProtocolError):
            if answer.status:
                self.note(request, answer, False)
            raise
        self.note(request, answer, True)
        if h11.MUST_CLOSE in (self.connection.our_state, self.connection.their_state):
            self.drop()
        else:
            self.connection.start_next_cycle()
        return float(answer.head.get("retry-after", 0)) if answer.status in (429, 503) else None

    def note(self, request, answer, is_whole):
        self.world.ledger.on_answer(request, answer.status, answer.head, answer.body, is_whole)

    async def read_whole(self, answer):
        while True:
            event = self.connection.next_event()
            if event is h11.NEED_DATA:
                data = await self.reader.read(http1.READ)
                self.connection.receive_data(data)
            elif isinstance(event, h11.Response):
                answer.status, answer.head = event.status_code, http1.fields(event.headers)
            elif isinstance(event, h11.Data):
                answer.body += event.data
            elif isinstance(event, h11.EndOfMessage):
                return
            elif isinstance(event, h11.ConnectionClosed):
                raise EOFError("closed without an answer")


class CrashingCaller(Caller):
    """Repeats one request that crashes each endpoint that runs it, at any entry."""

    is_crashing = True

    def __init__(self, name, key, world, route):
        super().__init__(name, key, world)
        self.route = route

    def content(self, kind):
        return "crash", ledger.CRASH_BODY

    def parts(self, request):
        return []

    async def run(self):
        while not self.world.is_over:
            await asyncio.sleep(self.world.random.uniform(0.2, 0.8))
            for route in self.world.config["routes"]:
                if route["name"] == self.route:
                    await self.ask(self.route, route["path-prefix"], 3.0)
            self.drop()


class TaintedCaller(CrashingCaller):
    """Requests of their own that have a part of their prompts in common, which crashes endpoints."""

    def content(self, kind):
        return Caller.content(self, kind)

    def parts(self, request):
        parts = (ledger.SHARED_PART, ledger.CRASH_PART, ledger.digest(request.id.encode()))
        return [("Prompt-Prefix", ",".join(f"{part}:50" for part in parts))]
