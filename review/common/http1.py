"""Minimal HTTP/1.1 over asyncio streams for the stand-ins; standard library only."""

import asyncio
import socket
import struct


async def read_head(reader):
    """Returns the start line and the fields (names in lower case); None at the end of the input."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = raw[:-4].decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    if "chunked" in fields.get("transfer-encoding", "").lower():
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()).strip():
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    return await reader.readexactly(int(fields.get("content-length", "0")))


def answer(status, fields, body=b"", reason="X"):
    head = f"HTTP/1.1 {status} {reason}\r\n"
    for name, value in fields.items():
        head += f"{name}: {value}\r\n"
    head += f"Content-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def reset(writer):
    """Closes the connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
