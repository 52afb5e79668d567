"""HTTP/1.1 over asyncio streams, parsed by h11: servers of the stand-ins and connections of callers."""

import asyncio
import socket
import struct

import h11

READ = 65536


def fields(headers):
    return {name.decode().lower(): value.decode() for name, value in headers}


def set_reset(writer):
    """Lets the close of a connection reset it."""
    sock = writer.get_extra_info("socket")
    if sock is not None and not writer.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Call:
    """One request at a stand-in."""

    def __init__(self, connection, reader, writer, request, body):
        self.connection = connection
        self.reader = reader
        self.writer = writer
        self.method = request.method.decode()
        self.target = request.target.decode()
        self.head = fields(request.headers)
        self.body = body

    def is_abandoned(self):
        return self.reader.at_eof() or self.writer.is_closing()

    async def begin(self, status, headers):
        rows = [(name, value) for name, value in headers.items()]
        return await self.write(h11.Response(status_code=status, headers=rows))

    async def data(self, data):
        return await self.write(h11.Data(data=data))

    async def end(self):
        return await self.write(h11.EndOfMessage())

    async def write(self, event):
        data = self.connection.send(event) or b""
        self.writer.write(data)
        await self.writer.drain()
        return data

    async def answer(self, status, headers, body):
        """Returns the bytes of the whole answer."""
        sent = await self.begin(status, {**headers, "Content-Length": str(len(body))})
        if body:
            sent += await self.data(body)
        return sent + await self.end()

    def reset(self):
        set_reset(self.writer)
        raise ConnectionError("reset by the stand-in")


async def serve(host, port, on_call, on_open=None):
    """Runs on_call(Call) for each request; on_open(writer) sees each connection."""

    async def on_connection(reader, writer):
        connection = h11.Connection(h11.SERVER)
        if on_open is not None:
            on_open(writer)
        try:
            while True:
                request, body = await read_message(connection, reader)
                if request is None:
                    break
                await on_call(Call(connection, reader, writer, request, body))
                if connection.our_state is h11.MUST_CLOSE:
                    break
                connection.start_next_cycle()
        except (OSError, h11.ProtocolError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(on_connection, host, port, backlog=512)


async def read_message(connection, reader):
    head, body = None, b""
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await reader.read(READ))
        elif isinstance(event, (h11.Request, h11.Response)):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            return head, body
        elif isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
            return None, b""
