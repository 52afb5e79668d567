"""Endpoints with odd answers: broken off, refused after the run, unasked, repeated, or followed by other bytes."""

import asyncio
import re

import http1

# What may happen to a request that runs, and to a connection.
EARLY = "early answer"
RUN_KINDS = ("head cut", "refused after the run", "body cut", "no answer", "no length")
AFTER_KINDS = ("extra bytes", "answer repeated", "refusal when idle")
OPEN_KINDS = ("refusal when open", "closed when open")
KINDS = (EARLY,) + RUN_KINDS + AFTER_KINDS + OPEN_KINDS
SHARE = 0.3  # of the answers and connections
IDLE = 0.1  # most seconds until bytes are written on an idle connection
GAP = 0.01  # seconds between the last bytes and a reset
PROMISE = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n%sContent-Length: 4\r\n\r\nfull"
EXTRA = (
    b"\r\nodd\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Le",
    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    (PROMISE % "").encode(),
)


class Odd:
    def __init__(self, endpoint, kinds):
        self.endpoint = endpoint
        self.kinds = kinds
        self.random = endpoint.world.random
        self.counts = endpoint.world.ledger.counts
        self.log = endpoint.world.log

    def draw(self, kinds, **cause):
        drawn = [kind for kind in kinds if kind in self.kinds]
        if not drawn or self.random.random() >= SHARE:
            return None
        kind = self.random.choice(drawn)
        self.counts[kind] += 1
        self.log(f"odd: {kind} at {self.endpoint.id} {' '.join(cause.values())}")
        return kind

    def on_open(self, writer):
        """Before anything is read from a connection."""
        kind = self.draw(OPEN_KINDS)
        if kind == "refusal when open":
            writer.write(self.refusal(None))
        elif kind == "closed when open":
            self.close(writer)

    def is_early(self, request_id):
        return self.draw((EARLY,), request=request_id) is not None

    def refusal(self, request_id):
        return (PROMISE % (f"Request-Id: {request_id}\r\n" if request_id else "")).encode()

    def close(self, writer):
        if self.random.random() < 0.5:
            http1.set_reset(writer)
        else:
            writer.close()

    async def break_off(self, call, data):
        call.writer.write(data)
        await call.writer.drain()
        await asyncio.sleep(self.random.choice((0, GAP)))
        self.close(call.writer)
        raise ConnectionError("broken off by the stand-in")

    async def on_run(self, call, head, run):
        """Answers a request in an odd way; False: the answer is to be a sound one."""
        kind = None if call.is_early else self.draw(RUN_KINDS, request=call.head["request-id"])
        if kind is None:
            return False
        await self.endpoint.pause(call, 0.02)
        if kind == "no answer":
            return call.reset()
        if kind == "refused after the run":
            run.status = self.random.choice((408, 429, 503))
            retry = {"Retry-After": "0.2"} if self.random.random() < 0.5 else {}
            run.complete = True
            run.body = b"busy"
            await call.answer(run.status, {**head, **retry}, run.body)
            return True
        run.status = 200
        if kind == "no length":
            return await self.end_with_connection(call, head, run)
        framing = "Transfer-Encoding: chunked" if self.random.random() < 0.5 else "Content-Length: 100"
        fields = [*(f"{name}: {value}" for name, value in head.items()), framing]
        self.random.shuffle(fields)
        data = "".join(f"{line}\r\n" for line in ["HTTP/1.1 200 OK", *fields]).encode()
        if kind == "head cut":
            ends = [match.end() for match in re.finditer(b"\r\n", data)]
            at = self.random.choice(ends) if self.random.random() < 0.5 else self.random.randrange(1, len(data))
            return await self.break_off(call, data[:at])
        run.body = f"{call.head['request-id']} ".encode()[:99]
        size = b"64\r\n" if "chunked" in framing else b""
        return await self.break_off(call, data + b"\r\n" + size + run.body)

    async def end_with_connection(self, call, head, run):
        """An answer without a length, whole or reset on the way."""
        data = "".join(f"{line}\r\n" for line in ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in head.items())])
        run.body = f"{call.head['request-id']} ".encode() * 20
        call.writer.write(f"{data}Connection: close\r\n\r\n".encode() + run.body)
        await call.writer.drain()
        await asyncio.sleep(GAP)
        run.complete = self.random.random() < 0.5
        if not run.complete:
            call.reset()
        run.broken = False
        call.writer.close()
        raise ConnectionError("ended by the stand-in")

    def after_answer(self, call):
        """A whole answer was written; the connection stays open."""
        kind = self.draw(AFTER_KINDS, request=call.head.get("request-id", ""))
        if kind == "extra bytes":
            call.writer.write(self.random.choice(EXTRA))
        elif kind == "answer repeated":
            data = call.sent if self.random.random() < 0.5 else without_id(call.sent)
            if self.random.random() < 0.5:
                self.endpoint.pending[call.writer] = data  # where the next answer is due
            else:
                self.write_when_idle(call, data)
        elif kind == "refusal when idle":
            self.write_when_idle(call, self.refusal(call.head.get("request-id") if self.random.random() < 0.5 else None))

    def write_when_idle(self, call, data):
        async def write():
            await asyncio.sleep(self.random.uniform(0, IDLE))
            if call.writer not in self.endpoint.answering and not call.writer.is_closing():
                call.writer.write(data)

        self.endpoint.world.background(write())


def without_id(answer):
    head, body = answer.split(b"\r\n\r\n", 1)
    return re.sub(rb"(?i)\r\nrequest-id:[^\r]*", b"", head) + b"\r\n\r\n" + body
