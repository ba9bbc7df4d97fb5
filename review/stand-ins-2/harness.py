"""Stand-ins of the platform, the servers and the clients for the cases 6 to 10, and a runner for the processes under test.

Everything listens on loopback addresses. Only Python's standard library is used.
"""
import asyncio
import json
import logging
import os
import random
import re
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
ID = "x-hyssopstep-attempt-id"


def free_ports(address, count):
    sockets = []
    for _ in range(count):
        tcp = socket.socket()
        tcp.bind((address, 0))
        sockets.append(tcp)
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


def loopback_address(index):
    """An address of its own for each process, different in concurrent runs."""
    return f"127.{10 + os.getpid() % 200}.{os.getpid() // 200 % 250}.{index}"


class Record:
    """What was sent, answered and run, in the order in which it was seen."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")

    def close(self):
        self.file.close()


async def read_head(reader):
    """Returns the first line and the headers, by lower-case names, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()) not in (b"\r\n", b""):
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    return await reader.readexactly(int(headers.get("content-length", 0)))


class Listener:
    """An HTTP/1.1 server whose requests are answered by the method `answer`."""

    async def listen(self, address, port=0):
        self.server = await asyncio.start_server(self.serve, address, port, limit=1 << 20)
        self.address, self.port = self.server.sockets[0].getsockname()
        return self

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                method, target, _ = head[0].split(" ", 2)
                body = await read_body(reader, head[1])
                if not await self.answer(method, target, head[1], body, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, ValueError, OSError):
            pass
        finally:
            writer.close()

    def close(self):
        self.server.close()


def response(status, body=b"", headers=()):
    reason = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone", 503: "Service Unavailable"}.get(status, "Status")
    lines = [f"HTTP/1.1 {status} {reason}", *headers, f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


class Store(Listener):
    """The platform's metadata store: objects by kind and name, one revision counter, lists and watches."""

    def __init__(self, record=None):
        self.objects = {}
        self.events = []
        self.revision = 10
        self.first_event_revision = 10
        self.changed = asyncio.Event()
        self.record = record
        self.era = None
        self.mode = None  # A coroutine (method, path, apply, writer) -> handled?, for disruptions.

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, kind, name, spec):
        """A write by the operator or a server."""
        key = (kind, name)
        known = self.objects.get(key)
        if known and known["spec"] == spec:
            return
        self.revision += 1
        created = known["metadata"]["create-rev"] if known else self.revision
        status = known["status"] if known else None
        self.objects[key] = {"metadata": {"name": name, "revision": self.revision, "create-rev": created, "finalizers": [], "deleting": False}, "spec": spec, "status": status}
        self.events.append((self.revision, kind, False, self.objects[key]))
        self.notify()

    def remove(self, kind, name):
        known = self.objects.pop((kind, name), None)
        if known:
            self.revision += 1
            gone = json.loads(json.dumps(known))
            gone["metadata"]["revision"] = self.revision
            self.events.append((self.revision, kind, True, gone))
            self.notify()

    async def answer(self, method, target, headers, body, reader, writer):
        path, _, query = target.partition("?")
        parameters = dict(p.split("=", 1) for p in query.split("&") if "=" in p)
        parts = path.split("/")[3:]

        def apply():
            return self.call(method, parts, parameters, body)

        if self.mode and await self.mode(method, parts, parameters, body, apply, writer):
            return False
        if method == "GET" and "watch" in parameters:
            status, value = await self.wait(parts[0], int(parameters["watch"]), int(parameters.get("wait-ms", 0)) / 1000)
        else:
            status, value = apply()
        await self.reply(writer, status, value)
        return True

    async def reply(self, writer, status, value):
        extra = ["Content-Type: application/json"]
        if self.era is not None:
            extra.append(f"Store-Era: {self.era}")
        writer.write(response(status, json.dumps(value).encode(), extra))
        await writer.drain()

    async def wait(self, kind, after, seconds):
        deadline = time.monotonic() + seconds
        while True:
            if after > self.revision or after < self.first_event_revision:
                return 410, {"error": "history"}
            events = [{"deleted": gone, "object": value} for revision, k, gone, value in self.events if k == kind and revision > after]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store-revision": self.revision}
            try:
                await asyncio.wait_for(asyncio.shield(self.changed.wait()), left)
            except asyncio.TimeoutError:
                pass

    def call(self, method, parts, parameters, body):
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        key = (kind, name)
        known = self.objects.get(key)
        if method == "GET" and name is None:
            items = [value for (k, n), value in sorted(self.objects.items()) if k == kind and n > parameters.get("after", "")]
            return 200, {"items": items, "more-pages": False, "store-revision": self.revision}
        if method == "GET":
            return (200, known) if known else (404, {"error": "none"})
        value = json.loads(body) if body else {}
        if method == "POST":
            name = value["metadata"]["name"]
            if (kind, name) in self.objects:
                return 409, self.objects[(kind, name)]
            self.put(kind, name, value.get("spec"))
            return 200, self.objects[(kind, name)]
        if not known:
            return 404, {"error": "none"}
        expected = value.get("metadata", {}).get("revision", parameters.get("revision"))
        if expected is not None and int(expected) != known["metadata"]["revision"]:
            return 409, known
        if method == "DELETE":
            self.remove(kind, name)
            return 200, known
        if len(parts) > 2:
            self.revision += 1
            known = json.loads(json.dumps(known))
            known["status"] = value.get("status")
            known["metadata"]["revision"] = self.revision
            self.objects[key] = known
            self.events.append((self.revision, kind, False, known))
            self.notify()
            return 200, known
        self.put(kind, name, value.get("spec"))
        return 200, self.objects[key]


class Cloud(Listener):
    """The platform's API for duties. Accepts what it gets and records it."""

    def __init__(self, record):
        self.record = record
        self.usage = {}
        self.calls = []
        self.delay = 0

    async def answer(self, method, target, headers, body, reader, writer):
        call = {"path": target, "holder": headers.get("x-hyssopstep-duty-holder"), "token": int(headers.get("x-hyssopstep-fencing-token", 0)), "body": json.loads(body or b"{}")}
        self.calls.append(call)
        self.record.line(f"duty {target} holder={call['holder']} token={call['token']} {json.dumps(call['body'])}")
        writer.write(response(200, b"{}", ["Content-Type: application/json"]))
        await writer.drain()
        return True


class Backend(Listener):
    """A sound server: answers each request whole, with its id and seal."""

    def __init__(self, name, record, slots=128, work=0.005):
        self.name = name
        self.record = record
        self.slots = slots
        self.work = work
        self.runs = {}
        self.running = 0

    async def answer(self, method, target, headers, body, reader, writer):
        request = headers.get(ID, "")
        expected = headers.get("x-hyssopstep-expect-instance")
        if expected and expected != self.name:
            writer.write(response(421, b"", [f"X-Hyssopstep-Attempt-Id: {request}", f"X-Hyssopstep-Instance-Id: {self.name}"]))
            await writer.drain()
            return True
        self.runs[request] = self.runs.get(request, 0) + 1
        self.running += 1
        try:
            return await self.run(request, method, target, headers, body, reader, writer)
        finally:
            self.running -= 1

    async def run(self, request, method, target, headers, body, reader, writer):
        await asyncio.sleep(self.work)
        seal = f"seal.{self.name}.{request}"
        writer.write(response(200, f"result of {request}".encode(), [f"X-Hyssopstep-Attempt-Id: {request}", f"X-Hyssopstep-Server-Seal: {seal}", f"X-Hyssopstep-Server-Load: {self.running},0,{self.slots}", "Keep-Alive: timeout=15"]))
        await writer.drain()
        return True


def server_entry(service, backend, zone="south-a", state="ready", version="v1", born=1700000000000, seq=1):
    return {"service": service, "address": f"{backend.address}:{backend.port}", "zone": zone, "version": version, "slots": backend.slots, "state": state, "cold-left-ms": 0, "seq": seq, "born": born}


def configuration(routes, services, tenants=(), version=7):
    return {
        "version": version,
        "routes": list(routes),
        "services": [{"name": name, "health-path": "/health", "max-conns": 620, "protocol": "h1", "tls": False} for name in services],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
        "tenants": list(tenants),
    }


def route(name, prefix, kind, service, timeout=1500, anonymous=False, **more):
    return {"name": name, "host": "shop.example", "path-prefix": prefix, "kind": kind, "timeout-ms": timeout, "target-latency-ms": 100, "priority": 2, "service": service, "max-attempts": 2, "anonymous": anonymous, "sticky": False, "resumable": False, **more}


class Node:
    """One process of the deploy file, with settings as the platform fills them in."""

    ports = None

    def __init__(self, name, address, store, cloud, seeds, first_start=True, memory_mb=260, max_fds=4100, zone="south-a", directory=None, **bounds):
        if Node.ports is None:
            Node.ports = [free_ports(loopback_address(250), 1)[0] for _ in range(3)] + [0]
            base = free_ports(loopback_address(250), 1)[0]
            Node.ports[3] = base if base < 65000 else 31000
        self.name, self.address = name, address
        self.front, self.ready, self.control, self.inner = Node.ports
        self.directory = directory
        fields = {
            "node": name, "zone": zone, "region": "us-south", "listen.front": f"{address}:{self.front}", "listen.ready": f"{address}:{self.ready}", "ip": address,
            "port-range": f"{self.inner},{self.inner + 15}", "seeds": ",".join(f"{seed}:{self.control}" for seed in seeds), "platform.address": f"{store.address}:{store.port}",
            "cloud.address": f"{cloud.address}:{cloud.port}", "cloud.duties": "usage_report,autoscale", "bounds.usage-window-s": 5, "bounds.lease-ms": 3000, "bounds.grace-s": 8,
            "limits.cpu-share": 0.25, "bounds.retry-ratio": 0.2, "bounds.retry-window-s": 10, "bounds.retry-slack": 54, "bounds.quota-window-s": 8, "bounds.quota-slack": 190000,
            "bounds.expose-share": "", "limits.memory-mb": memory_mb, **bounds,
        }
        self.fields = fields
        self.settings = os.path.join(directory, f"{name}.boot")
        self.log = os.path.join(directory, f"{name}.log")
        self.first_start = first_start
        self.max_fds = max_fds
        self.process = None

    def start(self):
        template = open(os.path.join(ROOT, "deploy", "entry.settings")).read()
        fields = {**self.fields, "bootstrap": "true" if self.first_start else "false"}
        with open(self.settings, "w") as file:
            file.write(re.sub(r"\{\{([^}]+)\}\}", lambda m: str(fields[m.group(1)]), template))
        self.first_start = False
        with open(self.log, "a") as log:
            self.process = subprocess.Popen([os.path.join(ROOT, "target", "Utilities", "Hyssopstep", "hyssopstep"), "edge"], cwd=ROOT, stdout=log, stderr=log, env={"PATH": os.environ["PATH"], "HOME": self.directory, "LANG": "C", "HYSSOPSTEP_BOOT": self.settings}, preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (self.max_fds, self.max_fds)))
        return self

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(self.address, self.ready), 1)
            writer.write(b"GET /hyssopstep/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return bool(head) and " 200 " in head[0] + " "
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, seconds=15):
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False


class CannotRun(Exception):
    pass


def request_bytes(method, path, request, deadline_ms, key=None, extra=(), body=b""):
    lines = [f"{method} {path} HTTP/1.1", "Host: shop.example", f"X-Hyssopstep-Attempt-Id: {request}", f"X-Hyssopstep-Deadline-Ms: {deadline_ms}"]
    if key:
        lines.append(f"Authorization: Token {key}")
    lines += extra
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def exchange(node, data, seconds):
    """Sends one request on a new connection. Returns (status, headers, body), or a text that says how it ended."""
    writer = None
    try:
        async def run():
            nonlocal writer
            reader, writer = await asyncio.open_connection(node.address, node.front, limit=1 << 20)
            writer.write(data)
            await writer.drain()
            while True:
                head = await read_head(reader)
                if head is None:
                    return "closed"
                status = int(head[0].split(" ")[1])
                if status >= 200:
                    break
            return status, head[1], await read_body(reader, head[1])
        return await asyncio.wait_for(run(), seconds)
    except asyncio.TimeoutError:
        return "no answer"
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        return f"broken: {error!r}"
    finally:
        if writer:
            writer.close()


def main(folder, case):
    """Runs a case. The exit code is 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)  # Connections that are still open at the end.
    record = Record(os.path.join(folder, "record.txt"))
    nodes = []
    with tempfile.TemporaryDirectory() as directory:
        def spawn(*arguments, **named):
            node = Node(*arguments, directory=directory, **named)
            nodes.append(node)
            return node.start()
        try:
            broken = asyncio.run(asyncio.wait_for(case(record, spawn, trouble), 110))
            record.line(f"result: {'broken: ' + broken if broken else 'held'}")
            print(f"broken: {broken}" if broken else "held")
            code = 1 if broken else 0
        except (CannotRun, OSError, asyncio.TimeoutError) as error:
            record.line(f"result: could not run: {error!r}")
            print(f"could not run: {error!r}")
            code = 2
        finally:
            for node in nodes:
                node.stop()
                if os.environ.get("KEEP_LOG"):
                    os.system(f"cp {node.log} {os.environ['KEEP_LOG']}/")
            record.close()
    sys.stdout.flush()
    os._exit(code)  # Connections of the stand-ins may still be open; nothing is left to do for them.
