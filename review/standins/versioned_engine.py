"""An engine of some software version that answers with event streams, as a process of its own.

Usage: versioned_engine.py ID PORT VERSION; port 0 for a free one. Prints `port N` when it listens, then a line for each
run. A request that names `Last-Event-Id` goes on after that event. Each event names the version that wrote it.
"""

import asyncio
import sys

from standins import HOST, message, read_head, read_sized_body

ID, PORT, VERSION = sys.argv[1], int(sys.argv[2]), sys.argv[3]


def say(text):
    sys.stdout.write(text + "\n")
    sys.stdout.flush()


async def serve(reader, writer):
    try:
        while True:
            head = await read_head(reader)
            if head is None:
                return
            headers = head[1]
            body = await read_sized_body(reader, headers)
            id = headers.get("request-id")
            if id is None or headers.get("expect-instance") not in (None, ID):
                writer.write(message(421, {"Not-Executed": "1"} | ({"Request-Id": id} if id else {})))
                continue
            pieces, gap_ms = (int(word) for word in body.split())
            last = int(headers.get("last-event-id", "0"))
            say(f"runs {id} after {last}")
            lines = ["HTTP/1.1 200 OK", f"Request-Id: {id}", f"Response-Signature: {ID}.{id}",
                     "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
            for piece in range(last + 1, pieces + 1):
                event = f"id: {piece}\ndata: {VERSION} piece {piece} of {pieces}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                await asyncio.sleep(gap_ms / 1000)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
    except (ConnectionError, OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
        pass
    finally:
        writer.close()


async def main():
    server = await asyncio.start_server(serve, HOST, PORT)
    say(f"port {server.sockets[0].getsockname()[1]}")
    await server.serve_forever()


asyncio.run(main())
