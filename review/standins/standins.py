"""Small stand-ins of the platform's store, of engines and of clients, and a starter of node processes.

They speak what PROTOCOL.md says, on loopback addresses and the real clock. Everything that is sent, answered and
run is written to one record with the milliseconds since the start of the case.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target/release/dalestand")
HOST = "127.0.0.1"


class Record:
    """The record of a case, one line an event."""

    def __init__(self, path):
        self.started = time.monotonic()
        self.file = open(path, "w")

    def now_ms(self):
        return (time.monotonic() - self.started) * 1000

    def line(self, text):
        self.file.write(f"{self.now_ms():9.1f} {text}\n")

    def close(self):
        self.file.close()


def free_ports(count):
    """Ports that are free for TCP and UDP now."""
    held, ports = [], []
    while len(ports) < count:
        tcp = socket.socket()
        tcp.bind((HOST, 0))
        port = tcp.getsockname()[1]
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            udp.bind((HOST, port))
        except OSError:
            tcp.close()
            udp.close()
            continue
        held += [tcp, udp]
        ports.append(port)
    for one in held:
        one.close()
    return ports


async def read_head(reader):
    """First line and headers (names in lower case) of a message; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for text in lines[1:]:
        name, _, value = text.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_sized_body(reader, headers):
    """Body of a message with a length or in chunks; raises if it ends early."""
    if "chunked" in headers.get("transfer-encoding", "").lower():
        parts = []
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return b"".join(parts)
            parts.append(data[:-2])
    return await reader.readexactly(int(headers.get("content-length", "0")))


def message(status, headers, body=b"", framed=True):
    reason = {200: "OK", 404: "Not Found", 412: "Precondition Failed", 421: "Misdirected Request",
              503: "Service Unavailable"}.get(status, "Status")
    lines = [f"HTTP/1.1 {status} {reason}"] + [f"{name}: {value}" for name, value in headers.items()]
    if framed:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's metadata store: keys, one counter of revisions, leases, watches."""

    def __init__(self, record):
        self.record = record
        self.items = {}
        self.revision = 1
        self.history = []
        self.leases = {}
        self.next_lease = 1000
        self.changed = asyncio.Condition()
        self.port = None
        # While it is down, every call is answered 503, and nothing is done.
        self.is_down = False

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.expiry = asyncio.create_task(self.expire())

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            if self.is_down:
                continue
            for lease in [one for one, (until, _) in self.leases.items() if until <= now]:
                await self.end_lease(lease)

    async def end_lease(self, lease):
        self.leases.pop(lease, None)
        await self.change([], [key for key, item in self.items.items() if item["lease"] == lease])

    async def change(self, puts, removes):
        """Applies one change; `puts` are (key, bytes, lease)."""
        puts, removes = list(puts), [key for key in removes if key in self.items]
        if not puts and not removes:
            return self.revision
        self.revision += 1
        for key, value, lease in puts:
            created = self.items[key]["created"] if key in self.items else self.revision
            item = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision,
                    "created": created, "lease": lease}
            self.items[key] = item
            self.history.append(item)
        for key in removes:
            del self.items[key]
            self.history.append({"key": key, "revision": self.revision, "gone": True})
        async with self.changed:
            self.changed.notify_all()
        return self.revision

    async def put(self, key, value):
        return await self.change([(key, json.dumps(value).encode(), 0)], [])

    async def remove(self, key):
        return await self.change([], [key])

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                method, target, _ = head[0].split(" ")
                body = await read_sized_body(reader, head[1])
                status, answer = await self.answer(method, target, body)
                text = json.dumps(answer).encode()
                writer.write(message(status, {"Content-Type": "application/json"}, text))
                await writer.drain()
        except (ConnectionError, OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def set_down(self, is_down):
        self.is_down = is_down
        self.record.line("the store is " + ("down" if is_down else "back"))
        if not is_down:
            # Leases wait while the store is down.
            now = time.monotonic()
            self.leases = {one: (now + ttl_ms / 1000, ttl_ms) for one, (_, ttl_ms) in self.leases.items()}
        async with self.changed:
            self.changed.notify_all()

    async def answer(self, method, target, body):
        if self.is_down:
            return 503, {}
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        path = url.path
        if path == "/v1/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "at": self.revision}) if item else (404, {"at": self.revision})
        if path == "/v1/kv-range":
            prefix, after = query["path_prefix"], query.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            page = [self.items[key] for key in keys[:500]]
            return 200, {"items": page, "has_more": len(keys) > 500, "at": self.revision}
        if path == "/v1/kv-watch":
            return await self.watch(query["path_prefix"], int(query["after"]), int(query["wait_ms"]))
        if path == "/v1/kv-txn":
            return await self.transaction(json.loads(body))
        if path == "/v1/kv-lease":
            ttl_ms = min(max(json.loads(body)["ttl_ms"], 1000), 600_000)
            self.next_lease += 1
            self.leases[self.next_lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
            return 200, {"lease": self.next_lease, "ttl_ms": ttl_ms}
        if path.startswith("/v1/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl_ms = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
            return 200, {"ttl_ms": ttl_ms}
        if path.startswith("/v1/kv-lease-end/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            await self.end_lease(lease)
            return 200, {}
        return 404, {}

    async def watch(self, prefix, after, wait_ms):
        until = time.monotonic() + wait_ms / 1000
        while True:
            if self.is_down:
                return 503, {}
            events = [one for one in self.history if one["revision"] > after and one["key"].startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def transaction(self, change):
        expected = change.get("expected_count", [])
        for row in expected:
            current = self.items.get(row["key"])
            if (current["revision"] if current else 0) != row["revision"]:
                items = [self.items[one["key"]] for one in expected if one["key"] in self.items]
                return 412, {"items": items}
        puts = [(one["key"], base64.b64decode(one["value"]), one.get("lease", 0)) for one in change.get("put", [])]
        if any(lease and lease not in self.leases for _, _, lease in puts):
            return 404, {}
        if any(key.startswith(("op/", "servers/")) for key, _, _ in puts):
            return 403, {}
        return 200, {"revision": await self.change(puts, change.get("remove", []))}


class Nodes:
    """Node processes of the deploy file, with settings as deploy/settings.toml lays them out."""

    def __init__(self, record, store_port, count, extra=""):
        self.folder = tempfile.mkdtemp(prefix="dalestand-review-")
        self.record = record
        ports = free_ports(count * 4)
        self.nodes = []
        for index in range(count):
            callers, ready, peers, metrics = ports[index * 4:index * 4 + 4]
            path = os.path.join(self.folder, f"node-{index + 1}.toml")
            with open(path, "w") as file:
                file.write(f'''node = "node-{index + 1}"
zone = "zone-a"
caller_listen = "{HOST}:{callers}"
ready_listen = "{HOST}:{ready}"
peer_listen = "{HOST}:{peers}"
metrics_listen = "{HOST}:{metrics}"
key_value = "{HOST}:{store_port}"
link_mbps = 1000.0
max_open_files = 4100
engine_drain_ms = 2000
first_start = true

[retries]
ratio = 0.2
slack = 54
window_s = 10

[stop]
grace_s = 8

[roles]
lease_ms = 3000

[log]
complete_one_in = 1
{extra}''')
            self.nodes.append({"name": f"node-{index + 1}", "callers": callers, "ready": ready, "path": path,
                               "process": None})

    def start(self):
        for node in self.nodes:
            self.start_one(node)

    def start_one(self, node):
        log = open(os.path.join(self.folder, node["name"] + ".log"), "ab")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["DALESTAND_SETTINGS"] = node["path"]
        # The command of deploy/system.toml.
        node["process"] = subprocess.Popen([PROGRAM, "forward"], cwd=ROOT, env=environment, stdout=log,
                                           stderr=subprocess.STDOUT)
        log.close()
        self.record.line(f"{node['name']} started, pid {node['process'].pid}")

    async def wait_ready(self, timeout_s=20):
        until = time.monotonic() + timeout_s
        for node in self.nodes:
            while not await self.is_ready(node):
                if time.monotonic() > until:
                    raise RuntimeError(f"{node['name']} is not ready")
                await asyncio.sleep(0.1)

    async def is_ready(self, node):
        try:
            reader, writer = await asyncio.open_connection(HOST, node["ready"])
            writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            first = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in first
        except (ConnectionError, OSError, asyncio.TimeoutError):
            return False

    def stop(self):
        for node in self.nodes:
            if node["process"] and node["process"].poll() is None:
                node["process"].send_signal(signal.SIGKILL)
                node["process"].wait()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.folder, ignore_errors=True)


async def ask(port, method, path, headers, body=b"", deadline_ms=3000, connection=None):
    """One request of a client; a dict with status, headers, body and how its answer ended.

    `end` is "whole" for an answer that is complete by its own framing, else what broke it.
    """
    answer = {"status": None, "headers": {}, "body": b"", "end": "no answer"}
    lines = [f"{method} {path} HTTP/1.1", "Host: app.example", f"Deadline-Ms: {deadline_ms}",
             f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    payload = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body

    async def exchange():
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            writer.write(payload)
            head = await read_head(reader)
            if head is None:
                answer["end"] = "closed without an answer"
                return
            answer["status"] = int(head[0].split(" ")[1])
            answer["headers"] = head[1]
            answer["end"] = "broken off in the body"
            if "content-length" in head[1]:
                answer["body"] = await reader.readexactly(int(head[1]["content-length"]))
            elif "chunked" in head[1].get("transfer-encoding", "").lower():
                while True:
                    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                    data = await reader.readexactly(size + 2)
                    if size == 0:
                        break
                    answer["body"] += data[:-2]
            answer["end"] = "whole"
        except (ConnectionError, OSError, asyncio.IncompleteReadError, ValueError) as error:
            answer["end"] += f" ({type(error).__name__})"
        finally:
            writer.close()

    try:
        await asyncio.wait_for(exchange(), deadline_ms / 1000 + 0.3)
    except asyncio.TimeoutError:
        answer["end"] = "client gave up at its deadline"
    except (ConnectionError, OSError) as error:
        answer["end"] = f"no connection ({type(error).__name__})"
    return answer


def request_id():
    return f"{random.getrandbits(64):016x}"


def run(main):
    """Runs a case and exits with its code; 2 if it could not run."""
    def end(*_):
        raise SystemExit(2)

    signal.signal(signal.SIGTERM, end)
    try:
        code = asyncio.run(main())
    except Exception:
        traceback.print_exc()
        code = 2
    sys.exit(code)
