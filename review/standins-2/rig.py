"""Stand-ins of the platform for the review's scripts: store, engines and clients, on loopback and the real clock.

They do what ../given/kit/more/system/PROTOCOL.md says and no more. Everything runs in one asyncio loop; the nodes are the
project's own program, one process each.
"""
import asyncio
import base64
import collections
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "release", "dalestand")
HOST = "127.0.0.1"
START = time.monotonic()


def now():
    """Seconds since the start of the script."""
    return time.monotonic() - START


_reserved = set()


def free_port():
    """A port of loopback that is free for TCP and UDP, below the ephemeral range."""
    while True:
        port = random.randrange(10_000, 30_000)
        if port in _reserved:
            continue
        try:
            with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
                tcp.bind((HOST, port))
                udp.bind((HOST, port))
        except OSError:
            continue
        _reserved.add(port)
        return port


class Record:
    """What was sent, answered and run, in the order in which it was seen."""

    def __init__(self, path):
        self.file = open(path, "w")

    def __call__(self, what, **facts):
        text = " ".join(f"{name}={value}" for name, value in facts.items())
        self.file.write(f"{now():9.4f} {what} {text}\n")

    def close(self):
        self.file.close()


async def read_head(reader):
    """The first line and the headers of a message; None at the end of the connection."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = text.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunked(reader):
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        chunk = await reader.readexactly(size + 2)
        if size == 0:
            return body
        body += chunk[:-2]


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return await read_chunked(reader)
    return await reader.readexactly(int(headers.get("content-length", 0)))


def message(first, headers, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


REASONS = {200: "OK", 202: "Accepted", 404: "Not Found", 409: "Conflict", 410: "Gone", 412: "Precondition Failed",
           421: "Misdirected Request", 429: "Too Many Requests", 500: "Internal Server Error", 503: "Service Unavailable"}


def answer(status, headers, body=b""):
    return message(f"HTTP/1.1 {status} {REASONS.get(status, 'X')}", {**headers, "content-length": len(body)}, body)


class Store:
    """The platform's store: one counter of revisions, leases, watches. One address a node, so that nodes can be told apart."""

    def __init__(self, record):
        self.record = record
        self.revision = 0
        self.items = {}
        self.events = collections.deque(maxlen=20_000)
        self.leases = {}
        self.next_lease = 100
        self.changed = asyncio.Event()
        # Nodes that it turns away with 503.
        self.refused = set()
        # Called with the node, the method and the path of a call; may wait, or return False to lose the answer.
        self.before_answer = None
        self.watchers = collections.defaultdict(dict)

    async def start(self):
        asyncio.ensure_future(self.expire())

    async def listen(self, node):
        port = free_port()
        await asyncio.start_server(lambda reader, writer: self.serve(node, reader, writer), HOST, port)
        return f"{HOST}:{port}"

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            over = [lease for lease, (_, until) in self.leases.items() if until <= now()]
            for lease in over:
                self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.write([], [key])

    def write(self, puts, removed):
        """Applies one change; returns its revision."""
        self.revision += 1
        for key, value, lease in puts:
            known = self.items.get(key)
            item = {"key": key, "value": base64.b64encode(value.encode()).decode(), "revision": self.revision,
                    "created": known["created"] if known else self.revision, "lease": lease}
            self.items[key] = item
            self.events.append((self.revision, key, item))
        for key in removed:
            if self.items.pop(key, None):
                self.events.append((self.revision, key, {"key": key, "revision": self.revision, "gone": True}))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        return self.revision

    def put(self, key, value, lease=0):
        return self.write([(key, value, lease)], [])

    async def serve(self, node, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                first, headers = head
                method, target, _ = first.split(" ", 2)
                body = await read_body(reader, headers)
                path, _, query = target.partition("?")
                arguments = dict(urllib.parse.parse_qsl(query))
                if node in self.refused:
                    writer.write(answer(503, {}))
                    continue
                status, answered = await self.call(node, method, path, arguments, body, reader)
                if self.before_answer and await self.before_answer(node, method, path) is False:
                    # The answer is lost, and the connection says nothing more.
                    await reader.read()
                    return
                writer.write(answer(status, {"content-type": "application/json"}, json.dumps(answered).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    async def call(self, node, method, path, arguments, body, reader):
        if path == "/v1/kv-key":
            item = self.items.get(arguments["key"])
            return (200, {**item, "at": self.revision}) if item else (404, {})
        if path == "/v1/kv-range":
            prefix, after = arguments["path_prefix"], arguments.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            return 200, {"items": [self.items[key] for key in keys[:500]], "has_more": len(keys) > 500, "at": self.revision}
        if path == "/v1/kv-watch":
            return await self.watch(node, arguments, reader)
        if path == "/v1/kv-txn":
            return self.transact(json.loads(body))
        if path == "/v1/kv-lease":
            lifetime = json.loads(body)["ttl_ms"]
            self.next_lease += 1
            self.leases[self.next_lease] = (lifetime, now() + lifetime / 1000)
            return 200, {"lease": self.next_lease, "ttl_ms": lifetime}
        kind, _, lease = path.rpartition("/")
        if kind == "/v1/kv-keep":
            known = self.leases.get(int(lease))
            if not known:
                return 404, {}
            self.leases[int(lease)] = (known[0], now() + known[0] / 1000)
            return 200, {"ttl_ms": known[0]}
        if kind == "/v1/kv-lease-end":
            self.end_lease(int(lease))
            return 200, {}
        return 404, {}

    async def watch(self, node, arguments, reader):
        prefix, after = arguments["path_prefix"], int(arguments["after"])
        wait = min(int(arguments.get("wait_ms", 0)), 30_000) / 1000
        until = now() + wait
        self.watchers[node][prefix] = wait
        while True:
            changes = [event for revision, key, event in self.events if revision > after and key.startswith(prefix)]
            left = until - now()
            if changes or left <= 0 or reader.at_eof():
                return 200, {"events": changes, "at": self.revision}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, change):
        current = [self.items.get(row["key"]) for row in change["expected_count"]]
        for row, item in zip(change["expected_count"], current):
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [item for item in current if item]}
        puts = []
        for put in change.get("put", []):
            lease = put.get("lease", 0)
            if lease and lease not in self.leases:
                return 404, {}
            puts.append((put["key"], base64.b64decode(put["value"]).decode(), lease))
        return 200, {"revision": self.write(puts, change.get("remove", []))}


class Engine:
    """An engine of an opaque service or, with `stage`, of a service of model engines."""

    def __init__(self, store, record, name, service, zone, work_ms, slots=6, stage=None):
        self.store, self.record = store, record
        self.id, self.service, self.zone = name, service, zone
        self.work_ms, self.slots, self.stage = work_ms, slots, stage
        self.state = "ready"
        self.running = 0
        self.sequence = 0
        self.arrivals = []
        self.server = None
        self.writers = set()
        self.handler = None
        self.ended = False

    async def start(self):
        self.port = free_port()
        self.address = f"{HOST}:{self.port}"
        self.server = await asyncio.start_server(self.serve, HOST, self.port, backlog=512)
        self.publish()

    def publish(self):
        entry = {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": self.slots,
                 "state": self.state, "cold_remaining_ms": 0, "sequence": self.sequence}
        if self.stage:
            entry["stage"] = self.stage
            entry["models"] = [{"name": "m", "version": 1, "adapters": []}]
        return self.store.put(f"servers/{self.id}", json.dumps(entry))

    def withdraw(self):
        return self.store.write([], [f"servers/{self.id}"])

    async def end(self):
        """Ends as a process does: it listens no more and closes its connections."""
        self.ended = True
        self.server.close()
        for writer in list(self.writers):
            writer.close()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                first, headers = head
                body = await read_body(reader, headers)
                await self.exchange(first, headers, body, reader, writer)
                await writer.drain()
                if self.state != "ready":
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def exchange(self, first, headers, body, reader, writer):
        method, target, _ = first.split(" ", 2)
        path = target.partition("?")[0]
        request = headers.get("request-id")
        carried = {"request-id": request} if request else {}
        if headers.get("expect-instance", self.id) != self.id:
            writer.write(answer(421, {**carried, "instance-id": self.id}))
            return
        if path == "/v1/report":
            report = {"stage": self.stage, "models": [], "busy": False, "sequence": self.sequence, "waiting": 0,
                      "running": self.running, "kv_used": 0, "kv_total": 100_000, "kv_handles": 0}
            writer.write(answer(200, {}, json.dumps(report).encode()))
            return
        if path == "/v1/kv-list":
            writer.write(answer(200, {}, json.dumps({"epoch": 1, "next_page_token": 0, "held": []}).encode()))
            return
        if path.startswith("/v1/kv-handle/"):
            writer.write(answer(200, {}, b"{}"))
            return
        if path == "/health":
            writer.write(answer(200 if self.state == "ready" else 503, {"instance-id": self.id}))
            return
        if not request:
            writer.write(answer(400, {"not-executed": "1"}))
            return
        self.arrivals.append((now(), request))
        self.record("arrives", engine=self.id, id=request, target=target)
        if self.running >= 5 * self.slots:
            writer.write(answer(503, {**carried, "not-executed": "1"}))
            return
        if self.handler:
            await self.handler(self, request, headers, body, reader, writer)
            return
        await self.run(request, carried, body, reader, writer)

    async def run(self, request, carried, body, reader, writer):
        self.running += 1
        self.record("runs", engine=self.id, id=request)
        try:
            await asyncio.sleep(self.work_ms / 1000)
            closes = {} if self.state == "ready" else {"connection": "close"}
            text = f"{self.id} {request} {len(body)}".encode()
            writer.write(answer(200, {**carried, "response-signature": f"{self.id}.{request}", **closes}, text))
            await writer.drain()
            self.record("answers", engine=self.id, id=request)
        finally:
            self.running -= 1


class Node:
    """A node: the command of the deploy file, with the settings of a small deployment."""

    def __init__(self, folder, name, zone, store_address, slack=56):
        self.name, self.zone, self.folder = name, zone, folder
        self.front, self.ready, self.peer = free_port(), free_port(), free_port()
        self.store_address, self.slack = store_address, slack
        self.process = None
        self.starts = 0

    def settings(self):
        return f"""
node = "{self.name}"
zone = "{self.zone}"
caller_listen = "{HOST}:{self.front}"
ready_listen = "{HOST}:{self.ready}"
peer_listen = "{HOST}:{self.peer}"
key_value = "{self.store_address}"
link_mbps = 1000.0
memory_mb = 260
max_open_files = 4100
engine_drain_ms = 2000
first_start = {"true" if self.starts == 0 else "false"}
[retries]
ratio = 0.2
slack = {self.slack}
window_s = 10
[stop]
grace_s = 8
[roles]
lease_ms = 3000
[log]
complete_one_in = 32
"""

    def start(self):
        path = os.path.join(self.folder, f"{self.name}.toml")
        with open(path, "w") as file:
            file.write(self.settings())
        self.starts += 1
        log = open(os.path.join(self.folder, f"{self.name}.log"), "a")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["DALESTAND_SETTINGS"] = path
        self.process = subprocess.Popen([PROGRAM, "forward"], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                                        stdout=log, stderr=subprocess.STDOUT)
        log.close()

    def send(self, which):
        if self.process and self.process.poll() is None:
            self.process.send_signal(which)

    def kill(self):
        if self.process:
            self.send(signal.SIGCONT)
            self.send(signal.SIGKILL)
            self.process.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(HOST, self.ready), 0.3)
            writer.write(b"GET /v1/ready HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 0.3)
            writer.close()
            return head is not None and " 200 " in head[0]
        except (OSError, asyncio.TimeoutError):
            return False


class Answer:
    def __init__(self, status=None, headers=None, body=b"", whole=False):
        self.status, self.headers, self.body, self.whole = status, headers or {}, body, whole


_next_id = random.randrange(1 << 40)


def new_id():
    global _next_id
    _next_id += 1
    return f"{_next_id:016x}"


async def receive(reader):
    """Reads one answer; `whole` tells whether its end was seen."""
    head = await read_head(reader)
    if head is None:
        return Answer()
    status, headers = int(head[0].split(" ")[1]), head[1]
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = await read_chunked(reader)
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        else:
            body = await reader.read()
        return Answer(status, headers, body, True)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return Answer(status, headers)


async def request(node, record, path, body=b"", host="a.example", deadline_ms=3000, method="POST", headers=None):
    """One attempt of a client on a connection of its own."""
    number = new_id()
    record("sends", node=node.name, id=number, path=path)
    sent_at = now()
    got = Answer()
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(HOST, node.front), 1)
        fields = {"host": host, "request-id": number, "deadline-ms": deadline_ms, **(headers or {})}
        if method != "GET":
            fields["content-length"] = len(body)
        writer.write(message(f"{method} {path} HTTP/1.1", fields, body))
        got = await asyncio.wait_for(receive(reader), deadline_ms / 1000 + 1)
        writer.close()
    except (OSError, asyncio.TimeoutError):
        pass
    record("gets", node=node.name, id=number, status=got.status, whole=got.whole, ms=int(1000 * (now() - sent_at)))
    return number, sent_at, got


def route(prefix, kind, service, timeout_ms=3000, attempts=2, target_ms=300, **more):
    return {"name": prefix.strip("/"), "host": "a.example", "path_prefix": prefix, "kind": kind, "timeout_ms": timeout_ms,
            "target_latency_ms": target_ms, "priority": 0, "service": service, "max_attempts": attempts, **more}


def configuration(version, routes, services):
    return json.dumps({"version": version, "routes": routes, "services": services,
                       "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000,
                                  "idle_timeout_ms": 30000}})


async def until(condition, timeout_s):
    """Waits for a condition; returns whether it came true."""
    end = now() + timeout_s
    while now() < end:
        if await condition():
            return True
        await asyncio.sleep(0.05)
    return False


def run(main):
    """Runs a script: 0 if the rule held, 1 if it was broken, 2 if the case could not run. Ends all nodes."""
    folder = tempfile.mkdtemp(prefix="review-")
    nodes = []
    code = 2
    if not os.path.exists(PROGRAM):
        print("the program is not built")
        sys.exit(2)
    try:
        loop = asyncio.new_event_loop()
        code = loop.run_until_complete(asyncio.wait_for(main(folder, nodes), 115))
    except asyncio.TimeoutError:
        print("the script took too long")
    finally:
        for node in nodes:
            node.kill()
        if os.environ.get("KEEP"):
            print("logs are kept in", folder)
        else:
            for name in os.listdir(folder):
                os.unlink(os.path.join(folder, name))
            os.rmdir(folder)
    # Ends without closing what is still open one by one.
    sys.stdout.flush()
    os._exit(code)
