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
        self.sent = b""
        self.is_early = False  # the rest of the body is still to come

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
        self.sent += data
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


class Watcher:
    """Sees what a server's connections carry; of a server that does not care, nothing."""

    def on_open(self, writer):
        pass

    def is_early(self, request, body):
        """The call begins with the first part of the body, the rest is read after the answer."""
        return False

    def on_rest(self, call, body):
        """The whole body of a call that began early."""

    def on_malformed(self, error):
        """Bytes that are no request."""


async def serve(host, port, on_call, watcher=Watcher()):
    """Runs on_call(Call) for each request."""

    async def on_connection(reader, writer):
        connection = h11.Connection(h11.SERVER)
        watcher.on_open(writer)
        try:
            while True:
                request, body = await read_message(connection, reader, watcher.is_early)
                if request is None:
                    break
                call = Call(connection, reader, writer, request, body)
                call.is_early = connection.their_state is h11.SEND_BODY
                await on_call(call)
                if connection.their_state is h11.SEND_BODY:
                    _, rest = await read_message(connection, reader)
                    watcher.on_rest(call, body + rest)
                if connection.our_state is h11.MUST_CLOSE:
                    break
                connection.start_next_cycle()
        except h11.RemoteProtocolError as error:
            if not reader.at_eof():
                watcher.on_malformed(error)
        except (OSError, h11.ProtocolError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(on_connection, host, port, backlog=512)


async def read_message(connection, reader, is_early=lambda head, body: False):
    head, body = None, b""
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await reader.read(READ))
        elif isinstance(event, (h11.Request, h11.Response)):
            head = event
        elif isinstance(event, h11.Data):
            is_first = not body
            body += event.data
            if head is not None and is_first and is_early(head, body):
                return head, body
        elif isinstance(event, h11.EndOfMessage):
            return head, body
        elif isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
            return None, b""
