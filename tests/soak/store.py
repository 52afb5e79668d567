"""Stand-in for the platform's store: keyed topics over HTTP, by its published protocol.

Faults: silent (calls hang), busy (503), limited (429), reset, slow (x seconds), lost (appends are
done and not answered), trimmed (the history is dropped, reads get 410), restored (away, then back
as an older copy; what the operator and the endpoints wrote is written again).
"""

import asyncio
import base64
import bisect
import json
import random
import struct
import time
import urllib.parse

import http1

MOST_ITEMS = 500  # records of one page of the newest
OWNED = ("keyed.op", "keyed.servers")  # topics of the operator and the endpoints


class Missing:
    """A record that its owner has yet to write, after a restore."""

    def __init__(self, content, waiting=()):
        self.content = content
        self.waiting = list(waiting)  # futures of writers

    @property
    def key(self):
        return self.content[1 : 1 + self.content[0]]

    def acknowledge(self):
        for written in self.waiting:
            if not written.done():
                written.set_result(None)


def keep_newest(missing):
    newest = {}
    for row in missing:
        older = newest.pop(row.key, None)
        newest[row.key] = Missing(row.content, (older.waiting if older else []) + row.waiting)
    return list(newest.values())


class Store:
    def __init__(self, seed=0):
        self.random = random.Random(f"store {seed}")
        self.topics = {}
        self.times = {}  # of the appends, by topic
        self.missing = {topic: [] for topic in OWNED}  # Missing, in the order in which they are to be written
        self.trims = {}  # topic -> [(time, oldest offset that reads still get)]
        self.era = 1
        self.is_away = False
        self.restores = 0  # begun
        self.poll_end = None  # of the reads that wait when the store goes away: "answer", "reset", "hold"
        self.changed = asyncio.Condition()
        self.mode = None
        self.slow_by = 0.0
        self.calls = 0
        self.server = None

    async def start(self, host, port):
        self.server = await http1.serve(host, port, self.on_call)

    async def put(self, topic, key, value):
        """Writes a record (None: drops the key); the acknowledgement is the return."""
        content = bytes([len(key)]) + key.encode()
        content = content if value is None else content + value.encode()
        if not self.is_away and not self.missing[topic]:
            await self.append(topic, [content])
            return
        written = asyncio.get_running_loop().create_future()
        self.missing[topic].append(Missing(content, [written]))  # what a restore lost comes first
        await written

    def rows(self, topic):
        return self.topics.setdefault(topic, [])

    def first(self, topic):
        """Oldest offset that reads still get."""
        return self.trims[topic][-1][1] if self.trims.get(topic) else 0

    def append_now(self, topic, records):
        rows = self.rows(topic)
        offset = len(rows)
        rows.extend(records)
        self.times.setdefault(topic, []).extend([time.monotonic()] * len(records))
        return offset, len(rows)

    async def append(self, topic, records):
        placed = self.append_now(topic, records)
        await self.notify()
        return placed

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    async def drop_history(self):
        for topic, rows in self.topics.items():
            self.trims.setdefault(topic, []).append((time.monotonic(), len(rows)))
        await self.notify()

    # Restores.

    async def go_away(self, mode, poll_end):
        self.is_away = True
        self.mode = mode
        self.poll_end = poll_end
        self.restores += 1
        await self.notify()

    async def come_back(self, copied_at):
        """As the copy of that time; returns how many records of each topic are lost."""
        lost = {}
        for topic, rows in self.topics.items():
            times = self.times.get(topic, [])
            kept = bisect.bisect_right(times, copied_at)
            lost[topic] = len(rows) - kept
            if topic in OWNED:
                self.missing[topic][:0] = [Missing(row) for row in rows[kept:]]
            del rows[kept:], times[kept:]
        for trims in self.trims.values():
            trims[:] = [trim for trim in trims if trim[0] <= copied_at]
        self.era += 1
        self.is_away = False
        self.mode = None
        await self.notify()
        return lost

    async def write_again(self, topic, seconds, is_newest_only):
        """The owners write what is lost within that time, in order: all of it, or the newest record of each key."""
        era, begun = self.era, time.monotonic()
        if is_newest_only:
            self.missing[topic] = keep_newest(self.missing[topic])
        for at in sorted(self.random.uniform(0, seconds) for _ in self.missing[topic]):
            await asyncio.sleep(max(begun + at - time.monotonic(), 0))
            if self.is_away or self.era != era:
                return
            await self.write_missing(topic, 1)
        await self.write_missing(topic, len(self.missing[topic]))

    async def write_missing(self, topic, count):
        rows, self.missing[topic] = self.missing[topic][:count], self.missing[topic][count:]
        self.append_now(topic, [row.content for row in rows])
        for row in rows:
            row.acknowledge()
        await self.notify()

    # Calls.

    async def answer(self, call, status, body=b"", era=None):
        await call.answer(status, {"Store-Era": str(era or self.era)}, body)

    async def on_call(self, call):
        self.calls += 1
        url = urllib.parse.urlsplit(call.target)
        query = {name: values[0] for name, values in urllib.parse.parse_qs(url.query).items()}
        mode = self.mode
        if mode == "reset":
            return call.reset()
        if mode == "silent":
            await asyncio.sleep(3600)
        if mode in ("busy", "limited"):
            return await self.answer(call, 503 if mode == "busy" else 429)
        if mode == "slow":
            await asyncio.sleep(self.slow_by)
            if self.is_away:
                return call.reset()
        topic = query.get("topic", "")
        if url.path == "/v1/log-append":
            return await self.on_append(call, topic, query, mode)
        if url.path == "/v1/log-read":
            return await self.on_read(call, topic, query)
        if url.path == "/v1/log-newest":
            return await self.on_newest(call, topic, query)
        return await self.answer(call, 404)

    async def on_append(self, call, topic, query, mode):
        if topic in OWNED:
            return await self.answer(call, 403)
        records, rest = [], call.body
        while rest:
            (size,) = struct.unpack(">I", rest[:4])
            records.append(rest[4 : 4 + size])
            rest = rest[4 + size :]
        rows = self.rows(topic)
        if "at" in query and int(query["at"]) != len(rows):
            return await self.answer(call, 412, json.dumps({"end": len(rows)}).encode())
        era = self.era
        offset, end = await self.append(topic, records)
        if mode == "lost":
            await asyncio.sleep(3600)
        return await self.answer(call, 200, json.dumps({"offset": offset, "end": end}).encode(), era)

    async def on_read(self, call, topic, query):
        start = int(query.get("from", "0"))
        restores = self.restores

        def is_due():
            return self.restores != restores or start != len(self.rows(topic)) or start < self.first(topic)

        async with self.changed:
            try:
                await asyncio.wait_for(self.changed.wait_for(is_due), int(query.get("wait-ms", "0")) / 1000)
            except asyncio.TimeoutError:
                pass
            if self.is_away and self.poll_end == "hold":
                await self.changed.wait_for(lambda: not self.is_away)
        if self.is_away and self.poll_end == "reset":
            return call.reset()
        rows, first = self.rows(topic), self.first(topic)
        if start < first or start > len(rows):
            return await self.answer(call, 410, json.dumps({"first": first}).encode())
        body = struct.pack(">QQ", len(rows), first)
        body += b"".join(struct.pack(">I", len(row)) + row for row in rows[start : start + 2000])
        return await self.answer(call, 200, body)

    async def on_newest(self, call, topic, query):
        newest = {}
        for offset, row in enumerate(self.rows(topic)):
            key, value = row[1 : 1 + row[0]].decode(), row[1 + row[0] :]
            newest[key] = (value, offset)
        keys = sorted(key for key, (value, _) in newest.items() if value and key > query.get("after", ""))
        items = [
            {"key": key, "value": base64.b64encode(newest[key][0]).decode(), "offset": newest[key][1]}
            for key in keys[:MOST_ITEMS]
        ]
        answer = {"items": items, "has-more": len(keys) > MOST_ITEMS, "end": len(self.topics[topic])}
        return await self.answer(call, 200, json.dumps(answer).encode())
