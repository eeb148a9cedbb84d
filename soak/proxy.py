"""A loopback proxy that delays or resets its connections, or drops their bytes in one or both
directions."""
import asyncio
import enum
import functools
import socket
import struct


class Mode(enum.Enum):
    PASS = "pass"
    DELAY = "delay"
    CUT_REQUESTS = "cut requests"
    CUT_RESPONSES = "cut responses"
    SILENCE = "silence"


DELAY_S = 0.15
CHUNK_BYTES = 65536


class Proxy:
    """Forwards connections; each listener has one target address. The mode applies to all
    connections, open and new. A direction that has dropped bytes delivers nothing further."""

    def __init__(self):
        self.mode = Mode.PASS
        self.dropped_bytes = 0
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
            # With a linger time of zero, closing the socket sends a reset.
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()

    async def serve(self, target, reader, writer):
        host, port = target.rsplit(":", 1)
        try:
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, target_writer}
        lossy = set()
        await asyncio.gather(self.forward(reader, target_writer, Mode.CUT_REQUESTS, lossy),
                             self.forward(target_reader, writer, Mode.CUT_RESPONSES, lossy))
        self.writers -= {writer, target_writer}

    async def forward(self, reader, writer, cut_mode, lossy):
        """Forwards one direction. `lossy` holds the cut modes of the directions that have dropped
        bytes."""
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.mode in (Mode.SILENCE, cut_mode):
                    lossy.add(cut_mode)
                if cut_mode in lossy:
                    self.dropped_bytes += len(data)
                    continue
                if self.mode is Mode.DELAY:
                    await asyncio.sleep(DELAY_S)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()
