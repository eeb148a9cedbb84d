"""A loopback proxy whose connections are delayed, reset, cut one way or silenced."""
import asyncio
import enum
import socket
import struct


class Mode(enum.Enum):
    PASS = "pass"
    DELAY = "delay"
    CUT_REQUESTS = "cut requests"
    CUT_ANSWERS = "cut answers"
    SILENCE = "silence"


DELAY_S = 0.15
CHUNK_BYTES = 65536


class Proxy:
    """Passes connections on to one address. The mode holds for all connections, open and new."""

    def __init__(self, target):
        self.target = target
        self.mode = Mode.PASS
        self.writers = set()
        self.server = None
        self.address = ""

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def reset_all(self):
        for writer in list(self.writers):
            if writer.is_closing():
                continue
            # Without lingering, the close of a socket is a reset.
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()

    async def serve(self, reader, writer):
        host, port = self.target.rsplit(":", 1)
        try:
            back_reader, back_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, back_writer}
        await asyncio.gather(self.carry(reader, back_writer, Mode.CUT_REQUESTS),
                             self.carry(back_reader, writer, Mode.CUT_ANSWERS))
        self.writers -= {writer, back_writer}

    async def carry(self, reader, writer, cut):
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.mode in (Mode.SILENCE, cut):
                    continue
                if self.mode is Mode.DELAY:
                    await asyncio.sleep(DELAY_S)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()
