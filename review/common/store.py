"""Stand-in for the platform's store: keyed topics over HTTP, as PROTOCOL.md describes them."""

import asyncio
import base64
import json
import struct
import urllib.parse

import http1

MOST_ITEMS = 500


class Store:
    def __init__(self):
        self.topics = {}
        self.changed = asyncio.Condition()
        self.server = None

    async def start(self, host, port):
        self.server = await asyncio.start_server(self.on_connection, host, port)

    async def put(self, topic, key, value):
        """Writes the newest record of a key; None drops it. The return is the acknowledgement."""
        content = bytes([len(key)]) + key.encode()
        if value is not None:
            content += json.dumps(value).encode()
        await self.append(topic, [content])

    async def append(self, topic, records):
        rows = self.topics.setdefault(topic, [])
        offset = len(rows)
        rows.extend(records)
        async with self.changed:
            self.changed.notify_all()
        return offset

    def newest(self, topic):
        rows = {}
        for offset, row in enumerate(self.topics.setdefault(topic, [])):
            rows[row[1 : 1 + row[0]].decode()] = (row[1 + row[0] :], offset)
        return {key: row for key, row in rows.items() if row[0]}

    async def on_connection(self, reader, writer):
        try:
            while True:
                head = await http1.read_head(reader)
                if head is None:
                    break
                body = await http1.read_body(reader, head[1])
                status, answer = await self.on_call(head[0].split()[1], body)
                writer.write(http1.answer(status, {"Content-Type": "application/octet-stream"}, answer))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def on_call(self, target, body):
        url = urllib.parse.urlsplit(target)
        query = {name: values[0] for name, values in urllib.parse.parse_qs(url.query).items()}
        topic = query.get("topic", "")
        if url.path == "/v1/log-append":
            return await self.on_append(topic, query, body)
        if url.path == "/v1/log-read":
            return await self.on_read(topic, query)
        if url.path == "/v1/log-newest":
            return self.on_newest(topic, query)
        return 404, b""

    async def on_append(self, topic, query, body):
        if topic in ("keyed.op", "keyed.servers"):
            return 403, b""
        rows = self.topics.setdefault(topic, [])
        if "at" in query and int(query["at"]) != len(rows):
            return 412, json.dumps({"end": len(rows)}).encode()
        records = []
        while body:
            (size,) = struct.unpack(">I", body[:4])
            records.append(body[4 : 4 + size])
            body = body[4 + size :]
        offset = await self.append(topic, records)
        return 200, json.dumps({"offset": offset, "end": len(rows)}).encode()

    async def on_read(self, topic, query):
        start = int(query.get("from", "0"))
        loop = asyncio.get_running_loop()
        until = loop.time() + int(query.get("wait-ms", "0")) / 1000
        rows = self.topics.setdefault(topic, [])
        while start >= len(rows) and loop.time() < until:
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), until - loop.time())
                except asyncio.TimeoutError:
                    pass
        body = struct.pack(">QQ", len(rows), 0)
        body += b"".join(struct.pack(">I", len(row)) + row for row in rows[start : start + 1000])
        return 200, body

    def on_newest(self, topic, query):
        newest = self.newest(topic)
        keys = sorted(key for key in newest if key > query.get("after", ""))
        items = [
            {"key": key, "value": base64.b64encode(newest[key][0]).decode(), "offset": newest[key][1]}
            for key in keys[:MOST_ITEMS]
        ]
        answer = {"items": items, "has-more": len(keys) > MOST_ITEMS, "end": len(self.topics[topic])}
        return 200, json.dumps(answer).encode()
