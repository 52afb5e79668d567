"""Stand-ins for the endpoints: model engines that stream events, and plain services.

An endpoint listens on an address of its own; entries know it by the address of its proxy.
"""

import asyncio
import json
import re
import time

import http1
import ledger
import odd
import proxy

HEARTBEAT = 1.2  # seconds between writes of its registration
LAPSE = 3 * HEARTBEAT  # of silence until the store drops the registration
PREFILL_PER_MS = 40.0  # prompt tokens
EVENT_PAUSE = 0.012  # seconds
CRASHED = 2.5  # seconds until an endpoint that a request crashed is back
MOST_WAITING = 4  # requests beyond the slots
REFUSED_WHILE_REPEATING = 0.3  # of the requests, while refusals are written again


class Endpoint(http1.Watcher):
    def __init__(self, name, service, is_engine, slots, address, seen_at, domain, world):
        self.name = name
        self.domain = domain
        self.service = service
        self.is_engine = is_engine
        self.slots = slots
        self.address = address
        self.seen_at = seen_at
        self.world = world
        self.link = proxy.Link(address)
        self.incarnation = 0
        self.state = "down"
        self.server = None
        self.heart = None
        self.writers = set()
        self.running = 0
        self.waiting = asyncio.Queue()
        self.places = None
        self.numbers = 0
        self.version = "v1"
        self.failure_share = 0.0
        self.slowness = 1.0
        self.agent = None  # process beside an engine
        self.rate = None  # requests a second that it names in all its answers
        self.repeats = None  # "with id", "without id": writes earlier refusals again
        self.refusals = {}  # bytes of the last refusal, by the connection's writer
        self.odd = None  # odd.Odd
        self.answering = set()  # writers of connections with a call
        self.pending = {}  # bytes to be written where the next answer is due, by writer
        self.is_moving = False  # started for a move of versions that is under way
        self.retired = False  # its version was moved away from: it does not come back

    @property
    def id(self):
        return f"i-{self.name}-{self.incarnation}"

    async def start(self):
        self.incarnation += 1
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.running = 0
        self.places = asyncio.Semaphore(self.slots)
        self.writers = set()
        self.refusals = {}
        self.pending = {}
        self.server = await http1.serve(*self.address, self.on_connection_call, self)
        if self.link.server is None:
            await self.link.start(*self.seen_at)
        self.heart = asyncio.create_task(self.beat())

    async def come_back(self):
        if not self.retired:
            await self.start()

    async def beat(self):
        while True:
            await self.register()
            await asyncio.sleep(HEARTBEAT)

    async def register(self):
        if self.world.store.mode is not None:
            return
        self.numbers += 1
        record = {
            "service": self.service,
            "address": "%s:%d" % self.seen_at,
            "zone": self.domain,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "seq": self.numbers,
            "born": self.born,
        }
        await self.world.store.put("keyed.servers", self.id, json.dumps(record))

    def name_rate(self, rate):
        """Names a rate in all answers from now on; None: no longer."""
        self.rate = rate
        self.world.ledger.on_rate(self.id, rate)

    def stop_listening(self):
        self.heart.cancel()
        self.server.close()

    async def crash(self):
        """Ends without a word; the store drops its registration later."""
        self.stop_listening()
        self.state = "down"
        for writer in list(self.writers):
            http1.set_reset(writer)
        lost = self.id
        self.world.background(self.lapse(lost))

    async def crash_under(self, call):
        """A request ends the endpoint; one that leaves anyway only breaks off."""
        if self.state == "ready":
            await self.crash()
            self.world.background(self.return_after(CRASHED))
        call.reset()

    async def return_after(self, seconds):
        await asyncio.sleep(seconds)
        await self.come_back()

    async def lapse(self, lost):
        await asyncio.sleep(LAPSE)
        await self.world.store.put("keyed.servers", lost, None)

    async def leave(self, tells):
        """Leaves in order: says so or is just gone from the list, serves on for a while, ends."""
        self.state = "draining"
        self.heart.cancel()
        if tells:
            await self.register()
        else:
            await self.world.store.put("keyed.servers", self.id, None)
        self.world.ledger.left[self.id] = time.monotonic()
        await asyncio.sleep(self.world.leave_time)
        while self.running:
            await asyncio.sleep(0.05)
        await self.world.store.put("keyed.servers", self.id, None)
        await self.crash()

    def on_open(self, writer):
        self.writers.add(writer)
        if self.odd is not None:
            self.odd.on_open(writer)

    def is_early(self, request, body):
        head = http1.fields(request.headers)
        is_partial = len(body) < int(head.get("content-length", "0"))
        return is_partial and self.odd is not None and self.odd.is_early(head.get("request-id", ""))

    def on_rest(self, call, body):
        self.world.ledger.on_rest(self.id, call.head.get("request-id"), body)

    def on_malformed(self, error):
        self.world.ledger.find("UNASKED", f"{self.id} got bytes that are no request: {error}")

    async def on_connection_call(self, call):
        self.answering.add(call.writer)
        try:
            pending = self.pending.pop(call.writer, None)
            if pending is not None:
                call.writer.write(pending)
            await self.on_call(call)
        finally:
            self.answering.discard(call.writer)
        if self.odd is not None:
            self.odd.after_answer(call)

    async def on_call(self, call):
        if self.rate is not None:
            self.world.ledger.on_limited(self.id, self.machine_of(call), call.target)
        if call.target in ("/health", "/v1/report"):
            return await self.on_question(call)
        running = self.running
        expected = call.head.get("expect-instance", self.id)
        is_full = self.places.locked() and running >= self.slots + MOST_WAITING
        if self.repeats and self.world.random.random() < REFUSED_WHILE_REPEATING:
            is_full = True
        refusal = 421 if expected != self.id else 503 if is_full else 0
        self.numbers += 1
        stamp = f"{self.id}.{self.numbers}"
        if refusal == 0:
            self.running += 1
            try:
                async with self.places:
                    if call.is_abandoned():
                        return call.reset()
                    return await self.run(call, stamp)
            finally:
                self.running -= 1
        self.note(call, False, stamp)
        head = self.head(call, stamp)
        self.refusals[call.writer] = await call.answer(refusal, {**head, "Not-Executed": "1"}, b"full")

    def machine_of(self, call):
        """The machine that sent the call: an entry, or the agent, which asks for reports."""
        request = self.world.ledger.requests.get(call.head.get("request-id"))
        return request.entry if request is not None else self.agent.name if self.agent is not None else None

    def head(self, call, stamp=None):
        """Fields of all answers."""
        fields = {}
        if "request-id" in call.head:
            fields["Request-Id"] = call.head["request-id"]
        if stamp is not None:
            fields["Response-Stamp"] = stamp
        if self.rate is not None:
            fields["Server-Limit"] = str(self.rate)
            self.world.ledger.on_rate_told(self.id, self.machine_of(call))
        return fields

    def repeat_refusal(self, call):
        """Writes the last refusal on this connection once more, where the next answer is due."""
        refusal = self.refusals.pop(call.writer, None)
        if refusal is None or self.repeats is None:
            return
        if self.repeats == "without id":
            refusal = re.sub(rb"(?i)request-id:[^\r]*\r\n", b"", refusal)
        self.world.ledger.counts[f"refusals repeated {self.repeats}"] += 1
        call.writer.write(refusal)

    def note(self, call, is_run, stamp):
        return self.world.ledger.on_arrival(
            self.id, self.service, self.domain, call.head, call.method, call.target, call.body, is_run, stamp, call.is_early
        )

    async def on_question(self, call):
        if call.target == "/health":
            status = 200 if self.state == "ready" else 503
            return await call.answer(status, {**self.head(call), "Instance-Id": self.id}, b"")
        report = {"stage": "both", "born": self.born, "running": self.running, "queued": 0, "state": self.state}
        head = {**self.head(call), "Content-Type": "application/json"}
        return await call.answer(200, head, json.dumps(report).encode())

    async def run(self, call, stamp):
        run = self.note(call, True, stamp)
        if run is None:
            return await call.answer(400, {"Not-Executed": "1"}, b"")
        self.repeat_refusal(call)
        head = self.head(call, stamp)
        run.broken = True
        try:
            culprit = self.world.ledger.culprit(call.head, call.target, call.body)
            if culprit is not None:
                self.world.ledger.on_crash(culprit, self.id)
                return await self.crash_under(call)
            if self.odd is not None and await self.odd.on_run(call, head, run):
                pass
            elif self.world.random.random() < self.failure_share:
                run.status = 500
                await asyncio.sleep(0.01)
                await call.answer(500, head, b"failed")
            elif self.is_engine:
                await self.stream(call, head, run)
            else:
                await self.reply(call, head, run)
            run.broken = False
        finally:
            run.ended = time.monotonic()

    async def pause(self, call, seconds):
        until = time.monotonic() + seconds * self.slowness
        while time.monotonic() < until:
            if call.is_abandoned():
                call.reset()
            await asyncio.sleep(min(0.05, max(until - time.monotonic(), 0)))

    async def reply(self, call, head, run):
        run.status = 200
        await self.pause(call, 0.02)
        run.body = f"{self.id} {call.target} {call.head['request-id']} ".encode() * 12
        run.complete = True
        await call.answer(200, head, run.body)

    async def stream(self, call, head, run):
        prompt, output = (int(part) for part in call.head["token-counts"].split(","))
        await self.pause(call, prompt / PREFILL_PER_MS / 1000)
        run.status = 200
        await call.begin(200, {**head, "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"})
        for number in range(1, output + 1):
            event = f"id: {number}\ndata: {call.head['request-id']} {number}\n\n".encode()
            run.body += event
            await call.data(event)
            await self.pause(call, EVENT_PAUSE)
        run.complete = True
        await call.end()
