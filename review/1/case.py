"""TWICE: a surplus refusal that arrives late is taken for the answer to the second send of the same request."""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
from standins import HOST, Nodes, Record, Store, ask, message, read_head, read_sized_body, request_id, run  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"

NODES = 16
ENGINES = 1
SLOTS = 6
QUEUE = 6
WORK_MS = 60
KEY = "k3y0fth3d3sk"

# Traffic: unsafe requests a second at all nodes together, and the same while many users come at once.
CALM_PER_S = 65
BURST_X = 2.0
BURST_S = 5.0
PAUSE_S = 1.5
CYCLES = 13

# The largest dose of `extra late` in the site files: six in ten of the servers, three in a hundred of their
# answers, for five seconds.
GARBLE_SHARE = 0.6
GARBLE_X = 0.03


class Engine:
    """An engine of a plain service: works on SLOTS requests at once, queues a few more, refuses those beyond."""

    def __init__(self, record, name, runs):
        self.record, self.name, self.runs = record, name, runs
        self.running = self.waiting = 0
        self.slots = asyncio.Semaphore(SLOTS)
        self.is_faulty = False
        self.surplus_sent = self.refusals = 0

    async def start(self):
        server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]

    def entry(self):
        return {"service": "booking", "address": f"{HOST}:{self.port}", "zone": "zone-a", "version": "v1",
                "slots": SLOTS, "state": "ready", "cold_remaining_ms": 0, "sequence": 1}

    async def serve(self, reader, writer):
        surplus = None
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                first, headers = head
                body = await read_sized_body(reader, headers)
                if surplus:
                    # A surplus answer arrives late, in the place where the next one is due.
                    id, answer = surplus
                    surplus = None
                    self.surplus_sent += 1
                    self.record.line(f"{self.name} sends a surplus answer to {id}; due is that to "
                                     f"{headers.get('request-id')}")
                    writer.write(answer)
                id = headers.get("request-id")
                answer = await self.answer(headers, id, body)
                writer.write(answer)
                await writer.drain()
                if TROUBLE and self.is_faulty and random.random() < GARBLE_X:
                    surplus = (id, answer)
        except (ConnectionError, OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, headers, id, body):
        if headers.get("expect-instance") not in (None, self.name):
            return message(421, {"Request-Id": id, "Not-Executed": "1"})
        if id is None:
            return message(400, {"Not-Executed": "1"})
        if self.running + self.waiting >= SLOTS + QUEUE:
            self.refusals += 1
            self.record.line(f"{self.name} refuses {id}: full")
            return message(503, {"Request-Id": id, "Not-Executed": "1"})
        self.waiting += 1
        async with self.slots:
            self.waiting -= 1
            self.running += 1
            self.runs.setdefault(id, []).append(self.name)
            self.record.line(f"{self.name} runs {id}")
            await asyncio.sleep(WORK_MS / 1000 * random.uniform(0.75, 1.25))
            self.running -= 1
        text = f"{self.name} ran {id}".encode()
        return message(200, {"Request-Id": id, "Response-Signature": f"{self.name}.{id}.{len(text)}"}, text)


def configuration():
    return {"version": 1,
            "routes": [{"name": "book", "host": "app.example", "path_prefix": "/book/", "kind": "unsafe",
                        "timeout_ms": 3000, "target_latency_ms": 300, "priority": 1, "service": "booking",
                        "max_attempts": 1, "allow_anonymous": False}],
            "services": [{"name": "booking", "health_path": "/health", "max_connections": 500, "protocol": "h1",
                          "tls": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000},
            "tenants": [{"name": "desk", "api_keys": [KEY], "priority": 1}]}


async def main():
    record = Record(os.path.join(HERE, "record.txt"))
    record.line(f"TROUBLE={int(TROUBLE)}")
    runs, answers = {}, {}
    store = Store(record)
    await store.start()
    engines = [Engine(record, f"i-{number:08x}", runs) for number in range(1, ENGINES + 1)]
    for engine in engines:
        await engine.start()
        await store.put(f"servers/{engine.name}", engine.entry())
    await store.put("op/config", configuration())
    nodes = Nodes(record, store.port, NODES)
    try:
        nodes.start()
        await nodes.wait_ready()

        async def book(node):
            id = request_id()
            record.line(f"client sends {id} to {node['name']}")
            headers = {"Request-Id": id, "Authorization": f"Bearer {KEY}"}
            answer = await ask(node["callers"], "POST", "/book/1", headers, b"one seat", 3000)
            answers[id] = answer
            record.line(f"client gets {answer['status']} for {id}, {answer['end']}")

        pending = set()

        async def traffic(per_s, seconds):
            until = asyncio.get_running_loop().time() + seconds
            while asyncio.get_running_loop().time() < until:
                await asyncio.sleep(random.expovariate(per_s))
                task = asyncio.create_task(book(random.choice(nodes.nodes)))
                pending.add(task)
                task.add_done_callback(pending.discard)

        # The nodes have to know the fleet for a window before they use the retry budget's slack.
        await traffic(CALM_PER_S, 13)
        for _ in range(CYCLES):
            faulty = random.sample(engines, max(1, int(GARBLE_SHARE * ENGINES)))
            for engine in engines:
                engine.is_faulty = engine in faulty
            record.line(f"burst x {BURST_X}" + (f", garble (extra late) at {[one.name for one in faulty]}" if TROUBLE else ""))
            await traffic(CALM_PER_S * BURST_X, BURST_S)
            for engine in engines:
                engine.is_faulty = False
            await traffic(CALM_PER_S, PAUSE_S)
        if pending:
            await asyncio.wait(pending, timeout=5)
        exited = [node["name"] for node in nodes.nodes if node["process"].poll() is not None]
    finally:
        nodes.stop()
    twice = {id: names for id, names in runs.items() if len(names) > 1}
    refused = [id for id in runs if answers.get(id, {}).get("status") in (503, 429, 408, 421)]
    served = sum(1 for answer in answers.values() if answer["status"] == 200)
    for id, names in twice.items():
        record.line(f"TWICE: {id} was run by {names}; the client got {answers.get(id, {}).get('status')}")
    for id in refused:
        record.line(f"REFUSED: {id} was run by {runs[id]}; the client got {answers[id]['status']}")
    summary = (f"{len(answers)} requests, {served} served, {len(runs)} run, "
               f"{sum(one.refusals for one in engines)} refusals by engines, "
               f"{sum(one.surplus_sent for one in engines)} surplus answers; "
               f"{len(twice)} run twice, {len(refused)} run and answered with a promise that they were not")
    record.line(summary)
    print(summary)
    record.close()
    if exited or served < len(answers) / 4:
        return 2
    return 1 if twice or refused else 0


run(main)
