"""A model engine as PROTOCOL.md describes it: runs streams, and goes on after Last-Event-Id.

    engine.py --id ID --version VERSION --listen IP:PORT [--events N] [--pause_ms N] [--step N]

Prints a line of JSON for each run that it begins. An event holds the request's id and the id and
the software version of the engine that made it.
"""
import argparse
import asyncio
import json
import sys

import web


def parse_arguments():
    parser = argparse.ArgumentParser()
    parser.add_argument("--id", required=True)
    parser.add_argument("--version", required=True)
    parser.add_argument("--listen", required=True)
    parser.add_argument("--events", type=int, default=40)
    parser.add_argument("--pause_ms", type=float, default=50)
    parser.add_argument("--step", type=int, default=1, help="difference of the ids of two events")
    return parser.parse_args()


class Engine:
    def __init__(self, arguments):
        self.arguments = arguments

    async def handle(self, message, writer):
        attempt = message.field("X-Attempt-Id")
        if message.field("X-Expect-Instance") not in ("", self.arguments.id):
            writer.write(web.encode_response(421, [("X-Attempt-Id", attempt), ("X-Not-Run", "1")]))
            return True
        if message.start.split(" ")[1] == "/report":
            writer.write(web.encode_response(200, [("Content-Type", "application/json")], b"{}"))
            return True
        await self.stream(attempt, int(message.field("Last-Event-Id") or 0), writer)
        return True

    async def stream(self, attempt, last, writer):
        own = self.arguments
        print(json.dumps({"attempt": attempt, "engine": own.id, "version": own.version,
                          "after": last}), flush=True)
        fields = [("X-Attempt-Id", attempt), ("X-Response-Seal", f"seal-{own.id}"),
                  ("X-Weight-Versions", "1"), ("Content-Type", "text/event-stream"),
                  ("Transfer-Encoding", "chunked")]
        writer.write(f"HTTP/1.1 200 OK\r\n{web.encode_fields(fields)}\r\n".encode())
        for number in range(last + own.step, own.events * own.step + 1, own.step):
            event = f"id: {number}\ndata: {attempt} {own.id} {own.version}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(own.pause_ms / 1000)
        writer.write(b"0\r\n\r\n")


async def main():
    arguments = parse_arguments()
    host, port = arguments.listen.rsplit(":", 1)
    server = await web.serve(Engine(arguments).handle, host, int(port))
    print(json.dumps({"listening": arguments.listen}), flush=True)
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    try:
        asyncio.run(main())
    except KeyboardInterrupt:
        sys.exit(0)
