"""An engine that answers with event streams, as a process of its own.

Usage: stream_engine.py ID. Prints `port N` when it listens, then a line for each run that begins or is complete.
A line `unframed X` on its standard input makes it answer the share X of its requests without a length: such an answer
finishes when its connection does.
"""

import asyncio
import random
import sys

from standins import HOST, message, read_head, read_sized_body

ID = sys.argv[1]
unframed_share = 0.0


def say(text):
    sys.stdout.write(text + "\n")
    sys.stdout.flush()


async def serve(reader, writer):
    try:
        while True:
            head = await read_head(reader)
            if head is None:
                return
            first, headers = head
            body = await read_sized_body(reader, headers)
            id = headers.get("request-id")
            if headers.get("expect-instance") not in (None, ID):
                writer.write(message(421, {"Not-Executed": "1"} | ({"Request-Id": id} if id else {})))
                continue
            if id is None:
                writer.write(message(400, {"Not-Executed": "1"}))
                continue
            # The request's body names the pieces and the milliseconds between them.
            pieces, gap_ms = (int(word) for word in body.split())
            is_unframed = random.random() < unframed_share
            say(f"runs {id}" + (", unframed" if is_unframed else ""))
            lines = ["HTTP/1.1 200 OK", f"Request-Id: {id}", f"Response-Signature: {ID}.{id}",
                     "Content-Type: text/event-stream"]
            lines.append("Connection: close" if is_unframed else "Transfer-Encoding: chunked")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
            for piece in range(1, pieces + 1):
                event = f"id: {piece}\ndata: piece {piece} of {pieces}\n\n".encode()
                writer.write(event if is_unframed else b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                if piece < pieces:
                    await asyncio.sleep(gap_ms / 1000)
            if not is_unframed:
                writer.write(b"0\r\n\r\n")
            await writer.drain()
            say(f"completes {id}")
            if is_unframed:
                return
    except (ConnectionError, OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
        pass
    finally:
        writer.close()


async def main():
    global unframed_share
    server = await asyncio.start_server(serve, HOST, 0)
    say(f"port {server.sockets[0].getsockname()[1]}")
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        unframed_share = float(line.split()[1])


asyncio.run(main())
