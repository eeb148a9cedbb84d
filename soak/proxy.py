"""A loopback proxy whose connections are delayed, reset, cut one way or silenced."""
import asyncio
import enum
import functools
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
    """Passes connections on, each listener to one address. The mode holds for all connections,
    open and new. A connection that has lost bytes delivers nothing further."""

    def __init__(self):
        self.mode = Mode.PASS
        self.lost_bytes = 0
        self.writers = set()
        self.servers = []

    async def listen(self, target):
        """Starts a listener for the target and returns its address."""
        server = await asyncio.start_server(functools.partial(self.serve, target), "127.0.0.1", 0)
        self.servers.append(server)
        return "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    def close(self):
        for it in self.servers:
            it.close()

    def reset_all(self):
        for writer in list(self.writers):
            if writer.is_closing():
                continue
            # Without lingering, the close of a socket is a reset.
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()

    async def serve(self, target, reader, writer):
        host, port = target.rsplit(":", 1)
        try:
            back_reader, back_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, back_writer}
        lossy = set()
        await asyncio.gather(self.carry(reader, back_writer, Mode.CUT_REQUESTS, lossy),
                             self.carry(back_reader, writer, Mode.CUT_ANSWERS, lossy))
        self.writers -= {writer, back_writer}

    async def carry(self, reader, writer, cut, lossy):
        """`lossy` has the directions that have lost bytes."""
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.mode in (Mode.SILENCE, cut):
                    lossy.add(cut)
                if cut in lossy:
                    self.lost_bytes += len(data)
                    continue
                if self.mode is Mode.DELAY:
                    await asyncio.sleep(DELAY_S)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()
