"""An engine that takes long requests, as a process of its own.

Usage: upload_engine.py ID. Prints `port N` when it listens, then a line for each request that it runs. A line `slow N`
on its standard input makes it read N bytes of each request's body a second; `slow 0` makes it read at once.
"""

import asyncio
import sys

from standins import HOST, message, read_head, read_sized_body

ID = sys.argv[1]
WORK_MS = 20
CHUNK = 64 * 1024
bytes_per_s = 0


def say(text):
    sys.stdout.write(text + "\n")
    sys.stdout.flush()


async def read_slowly(reader, headers):
    left = int(headers.get("content-length", "0"))
    while left:
        left -= len(await reader.readexactly(min(left, CHUNK)))
        if bytes_per_s:
            await asyncio.sleep(CHUNK / bytes_per_s)


async def serve(reader, writer):
    try:
        while True:
            head = await read_head(reader)
            if head is None:
                return
            id = head[1].get("request-id")
            if bytes_per_s:
                await read_slowly(reader, head[1])
            else:
                await read_sized_body(reader, head[1])
            if id is None or head[1].get("expect-instance") not in (None, ID):
                writer.write(message(421, {"Not-Executed": "1"} | ({"Request-Id": id} if id else {})))
                continue
            say(f"runs {id}")
            await asyncio.sleep(WORK_MS / 1000)
            writer.write(message(200, {"Request-Id": id, "Response-Signature": f"{ID}.{id}"}, b"catalogued"))
            await writer.drain()
    except (ConnectionError, OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
        pass
    finally:
        writer.close()


async def main():
    global bytes_per_s
    server = await asyncio.start_server(serve, HOST, 0, limit=CHUNK)
    say(f"port {server.sockets[0].getsockname()[1]}")
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        bytes_per_s = float(line.split()[1])


asyncio.run(main())
