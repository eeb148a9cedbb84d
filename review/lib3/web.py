"""HTTP/1.1 for stand-ins and clients: the reading and writing of messages on asyncio streams."""
import asyncio


class Message:
    """A request or the head of a response, with its body where it has been read."""

    def __init__(self, start, fields, body=b""):
        self.start = start
        self.fields = fields
        self.body = body

    def field(self, name):
        """Returns the first field with this name, or an empty text."""
        for key, value in self.fields:
            if key.lower() == name.lower():
                return value
        return ""

    @property
    def status(self):
        return int(self.start.split(" ")[1])


async def read_head(reader):
    """Returns the start line and the fields, or None at the end of the connection."""
    text = await reader.readuntil(b"\r\n\r\n")
    lines = text.decode("latin-1").split("\r\n")
    fields = [tuple(part.strip() for part in it.split(":", 1)) for it in lines[1:] if it]
    return Message(lines[0], fields)


async def read_chunk(reader):
    """Returns the bytes of the next chunk; nothing for the last one."""
    size = int((await reader.readline()).split(b";")[0], 16)
    data = await reader.readexactly(size)
    await reader.readexactly(2)
    return data


async def read_message(reader):
    """Reads a message with its whole body."""
    message = await read_head(reader)
    if message.field("Transfer-Encoding").lower() == "chunked":
        while chunk := await read_chunk(reader):
            message.body += chunk
    elif length := message.field("Content-Length"):
        message.body = await reader.readexactly(int(length))
    return message


def encode_fields(fields):
    return "".join(f"{name}: {value}\r\n" for name, value in fields)


def encode_response(status, fields=(), body=b""):
    head = f"HTTP/1.1 {status} X\r\n{encode_fields(fields)}Content-Length: {len(body)}\r\n\r\n"
    return head.encode("latin-1") + body


def encode_request(method, target, fields=(), body=b""):
    length = f"Content-Length: {len(body)}\r\n" if body or method == "POST" else ""
    head = f"{method} {target} HTTP/1.1\r\n{encode_fields(fields)}{length}\r\n"
    return head.encode("latin-1") + body


async def serve(handle, host, port=0):
    """Starts a server. `handle(message, writer)` answers one request and returns whether the
    connection may carry another one."""
    async def connected(reader, writer):
        try:
            while await handle(await read_message(reader), writer):
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            writer.close()
    return await asyncio.start_server(connected, host, port, backlog=512)


async def call(address, method, target, fields=(), body=b"", limit_s=5):
    """Sends one request on a connection of its own and returns the response."""
    async def exchange():
        host, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            named = any(name == "Host" for name, _ in fields)
            own = [] if named else [("Host", address)]
            writer.write(encode_request(method, target, [*own, *fields], body))
            return await read_message(reader)
        finally:
            writer.close()
    return await asyncio.wait_for(exchange(), limit_s)
