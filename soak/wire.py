"""HTTP/1.1 for the callers and servers of the soak, over asyncio streams."""
import asyncio
import dataclasses


@dataclasses.dataclass
class Message:
    """A request or a response. `start` is its first line."""
    start: str
    fields: dict
    body: bytes = b""

    def field(self, name):
        return self.fields.get(name.lower(), "")


async def read_head(reader):
    """Reads a message up to its body; returns None at the end of the connection."""
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = text.split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    return Message(lines[0], fields)


async def read_body(reader, message):
    """Reads the body and returns whether it is complete."""
    try:
        if message.field("Transfer-Encoding") == "chunked":
            while True:
                size = int((await reader.readline()).strip() or b"x", 16)
                message.body += await reader.readexactly(size)
                await reader.readexactly(2)
                if size == 0:
                    return True
        message.body = await reader.readexactly(int(message.field("Content-Length") or 0))
        return True
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return False


def encode(start, fields, body=b""):
    lines = [start, *(f"{name}: {value}" for name, value in fields.items()),
             f"Content-Length: {len(body)}"]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def encode_response(status, body=b"", **fields):
    named = {name.replace("_", "-"): value for name, value in fields.items()}
    return encode(f"HTTP/1.1 {status} X", named, body)


class Server:
    """A listener on loopback. The hook receives each request and the writer, and returns whether to
    keep the connection open."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.address = ""

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 20)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            while (message := await read_head(reader)) is not None:
                if not await read_body(reader, message) or not await self.handle(message, writer):
                    break
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()
