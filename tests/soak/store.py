"""Stand-in for the platform's store: keyed topics over HTTP, by its published protocol.

Faults: silent (calls hang), busy (503), limited (429), reset, slow (x seconds), lost (appends are
done and not answered), trimmed (the history is dropped, reads get 410).
"""

import asyncio
import base64
import json
import struct
import urllib.parse

import http1

MOST_ITEMS = 500  # records of one page of the newest


class Store:
    def __init__(self):
        self.topics = {}
        self.first = {}  # oldest offset that reads still get
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
        await self.append(topic, [content if value is None else content + value.encode()])

    async def append(self, topic, records):
        rows = self.topics.setdefault(topic, [])
        offset = len(rows)
        rows.extend(records)
        async with self.changed:
            self.changed.notify_all()
        return offset, len(rows)

    async def drop_history(self):
        for topic, rows in self.topics.items():
            self.first[topic] = len(rows)
        async with self.changed:
            self.changed.notify_all()

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
            return await call.answer(503 if mode == "busy" else 429, {}, b"")
        if mode == "slow":
            await asyncio.sleep(self.slow_by)
        topic = query.get("topic", "")
        if url.path == "/v1/log-append":
            return await self.on_append(call, topic, query, mode)
        if url.path == "/v1/log-read":
            return await self.on_read(call, topic, query)
        if url.path == "/v1/log-newest":
            return await self.on_newest(call, topic, query)
        return await call.answer(404, {}, b"")

    async def on_append(self, call, topic, query, mode):
        if topic in ("keyed.op", "keyed.servers"):
            return await call.answer(403, {}, b"")
        records, rest = [], call.body
        while rest:
            (size,) = struct.unpack(">I", rest[:4])
            records.append(rest[4 : 4 + size])
            rest = rest[4 + size :]
        rows = self.topics.setdefault(topic, [])
        if "at" in query and int(query["at"]) != len(rows):
            return await call.answer(412, {}, json.dumps({"end": len(rows)}).encode())
        offset, end = await self.append(topic, records)
        if mode == "lost":
            await asyncio.sleep(3600)
        return await call.answer(200, {}, json.dumps({"offset": offset, "end": end}).encode())

    async def on_read(self, call, topic, query):
        start = int(query.get("from", "0"))
        deadline = asyncio.get_running_loop().time() + int(query.get("wait-ms", "0")) / 1000
        while True:
            rows = self.topics.setdefault(topic, [])
            first = self.first.get(topic, 0)
            left = deadline - asyncio.get_running_loop().time()
            if start < first or start < len(rows) or left <= 0:
                break
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if start < first:
            return await call.answer(410, {}, json.dumps({"first": first}).encode())
        body = struct.pack(">QQ", len(rows), first)
        body += b"".join(struct.pack(">I", len(row)) + row for row in rows[start : start + 2000])
        return await call.answer(200, {}, body)

    async def on_newest(self, call, topic, query):
        newest = {}
        for offset, row in enumerate(self.topics.setdefault(topic, [])):
            key, value = row[1 : 1 + row[0]].decode(), row[1 + row[0] :]
            newest[key] = (value, offset)
        keys = sorted(key for key, (value, _) in newest.items() if value and key > query.get("after", ""))
        items = [
            {"key": key, "value": base64.b64encode(newest[key][0]).decode(), "offset": newest[key][1]}
            for key in keys[:MOST_ITEMS]
        ]
        answer = {"items": items, "has-more": len(keys) > MOST_ITEMS, "end": len(self.topics[topic])}
        return await call.answer(200, {}, json.dumps(answer).encode())
