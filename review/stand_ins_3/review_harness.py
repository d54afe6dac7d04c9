"""Stand-ins for the platform, workers and clients of the third review, on loopback."""

import asyncio
import base64
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from urllib.parse import parse_qs

ROOT = Path(__file__).resolve().parents[2]
HOST = "front.example"
KEY, TENANT = "key-of-tenant-a", "tenant-a"
MAX_FEED_WAIT_S = 30.0
START_TIMEOUT_S = 15.0
STOP_TIMEOUT_S = 3.0
HEARTBEAT_S = 1.2
HELD, BROKEN, NOT_RUN = 0, 1, 2

Fields = list[tuple[str, str]]


class CaseError(Exception):
    """The case could not run."""


class Message:
    """A request or an answer as it was received."""

    def __init__(self, line: str, fields: Fields, body: bytes) -> None:
        self.line = line
        self.fields = fields
        self.body = body

    def field(self, name: str) -> str | None:
        """Return the first value of a field, whatever the case of its name."""
        for found, value in self.fields:
            if found.lower() == name.lower():
                return value
        return None

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.line.split(" ")[0]

    @property
    def target(self) -> str:
        """Return the path and query of a request."""
        return self.line.split(" ")[1]

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.line.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> tuple[str, Fields]:
    """Read the first line and the fields of a message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    line, *rest = head[:-4].split("\r\n")
    fields = []
    for item in rest:
        name, _, value = item.partition(":")
        fields.append((name, value.strip()))
    return line, fields


async def read_body(reader: asyncio.StreamReader, fields: Fields) -> bytes:
    """Read a body that is framed by its length or in chunks."""
    named = {name.lower(): value for name, value in fields}
    if named.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
        while await reader.readuntil(b"\r\n") != b"\r\n":
            pass
        return b"".join(parts)
    return await reader.readexactly(int(named.get("content-length", "0")))


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a whole message; ``IncompleteReadError`` if the connection ends before."""
    line, fields = await read_head(reader)
    return Message(line, fields, await read_body(reader, fields))


def encode(line: str, fields: Fields, body: bytes = b"") -> bytes:
    """Return the bytes of a message with ``Content-Length``."""
    head = "".join(f"{name}: {value}\r\n" for name, value in fields)
    length = f"Content-Length: {len(body)}\r\n"
    return f"{line}\r\n{head}{length}\r\n".encode("latin-1") + body


class Record:
    """What was sent, answered and run, in the order of the events."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def write(self, text: str) -> None:
        """Write a line with the time since the start."""
        elapsed = time.monotonic() - self._started_at
        self._file.write(f"{elapsed:8.3f} s  {text}\n")
        self._file.flush()


class Listener:
    """A server on a free loopback port."""

    def __init__(self) -> None:
        self.port = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def listen(self, *, receive_buffer: int | None = None) -> None:
        """Listen; ``receive_buffer`` limits what connections take in unread."""
        sock = socket.socket()
        if receive_buffer is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        sock.bind(("127.0.0.1", 0))
        self.port = sock.getsockname()[1]
        self._server = await asyncio.start_server(
            self._accept, sock=sock, limit=1024 * 1024
        )

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self.serve(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            # The other side has gone, or the case is over.
            pass
        finally:
            self._tasks.discard(task)
            with contextlib.suppress(Exception):
                writer.transport.abort()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        raise NotImplementedError

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()


class Store(Listener):
    """The platform's store: rows with one version counter, reads, watches, writes."""

    def __init__(self) -> None:
        super().__init__()
        self.rows: dict[tuple[str, str], tuple[bytes | None, int]] = {}
        self.version = 0
        self._changed = asyncio.Condition()

    async def put(self, table: str, key: str, value: object | None) -> None:
        """Write a row; None removes it."""
        data = None if value is None else json.dumps(value).encode()
        await self._write([(table, key, data)])

    async def _write(self, rows: list[tuple[str, str, bytes | None]]) -> None:
        self.version += 1
        for table, key, data in rows:
            self.rows[table, key] = (data, self.version)
        async with self._changed:
            self._changed.notify_all()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the calls on one connection."""
        while True:
            request = await read_message(reader)
            path, _, query = request.target.partition("?")
            values = {name: found[0] for name, found in parse_qs(query).items()}
            status, answer = 404, {}
            if path == "/api/rows-get":
                status, answer = 200, self._get(values)
            elif path == "/api/rows-feed":
                status, answer = await self._feed(values)
            elif path == "/api/rows-tx":
                status, answer = await self._change(json.loads(request.body))
            now = round(time.monotonic() * 1_000)
            body = {**answer, "SchemaVersion": self.version, "NowMs": now}
            fields = [("Content-Type", "application/json"), ("Store-Era", "0")]
            writer.write(
                encode(f"HTTP/1.1 {status} Status", fields, json.dumps(body).encode())
            )
            await writer.drain()

    def _get(self, values: dict[str, str]) -> dict[str, object]:
        rows = [
            self._row(table, key)
            for table, key in sorted(self.rows)
            if table == values["Table"]
            and key >= values.get("From", "")
            and ("To" not in values or key < values["To"])
            and self.rows[table, key][0] is not None
        ]
        limit = int(values.get("Limit", "500"))
        return {"Rows": rows[:limit], "HasMore": len(rows) > limit}

    async def _feed(self, values: dict[str, str]) -> tuple[int, dict[str, object]]:
        after = int(values["After"])
        if after > self.version:
            return 410, {}
        wait = min(int(values["WaitMs"]) / 1_000, MAX_FEED_WAIT_S)
        deadline = asyncio.get_running_loop().time() + wait
        while True:
            rows = [
                self._row(table, key)
                for (table, key), (_, version) in self.rows.items()
                if table == values["Table"] and version > after
            ]
            left = deadline - asyncio.get_running_loop().time()
            if rows or left <= 0:
                rows.sort(key=lambda row: row["SchemaVersion"])
                return 200, {"Rows": rows}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left), self._changed:
                    await self._changed.wait()

    async def _change(self, change: dict) -> tuple[int, dict[str, object]]:
        checks = change.get("Precondition", [])
        for row in checks:
            found = self.rows.get((row["Table"], row["Key"]), (None, 0))
            held = 0 if found[0] is None else found[1]
            if held != row["SchemaVersion"]:
                rows = [self._row(item["Table"], item["Key"]) for item in checks]
                return 412, {"Rows": [row for row in rows if not row.get("Deleted")]}
        puts = [
            (row["Table"], row["Key"], base64.b64decode(row["Value"]))
            for row in change.get("Puts", [])
        ]
        removed = [(row["Table"], row["Key"], None) for row in change.get("Remove", [])]
        await self._write(puts + removed)
        return 200, {}

    def _row(self, table: str, key: str) -> dict:
        data, version = self.rows.get((table, key), (None, 0))
        row = {"Table": table, "part": "", "Key": key, "SchemaVersion": version}
        if data is None:
            return {**row, "Deleted": True}
        return {**row, "Value": base64.b64encode(data).decode()}


Answer = Callable[["Worker", Message, asyncio.StreamWriter], Awaitable[bool]]


class Worker(Listener):
    """A worker; ``answer`` runs a request and returns whether its connection stays."""

    def __init__(
        self,
        name: str,
        record: Record,
        *,
        answer: Answer | None = None,
        service: str = "app",
        zone: str = "z1",
        slots: int = 8,
    ) -> None:
        super().__init__()
        self.name = name
        self.record = record
        self.runs: list[Message] = []
        self._answer = answer or answer_done
        self._service, self._zone, self._slots = service, zone, slots
        self._born = round(time.time() * 1_000)
        self._beats = 0

    async def announce(self, store: Store) -> None:
        """Write the worker's entry."""
        self._beats += 1
        entry = {
            "Service": self._service,
            "Address": f"127.0.0.1:{self.port}",
            "Zone": self._zone,
            "Version": "v1",
            "Slots": self._slots,
            "State": "ready",
            "ColdLeftMs": 0,
            "Seq": self._beats,
            "born": self._born,
        }
        await store.put("servers", self.name, entry)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests on one connection."""
        while True:
            request = await read_message(reader)
            if request.field("x-expect-instance") not in (None, self.name):
                fields = [("X-Instance-Id", self.name), *named(request)]
                writer.write(encode("HTTP/1.1 421 Misdirected", fields))
                continue
            self.runs.append(request)
            self.record.write(
                f"{self.name} runs {request.field('x-request-id')}: {request.line},"
                f" body of {len(request.body)} bytes"
            )
            if not await self._answer(self, request, writer):
                return
            await writer.drain()

    def signed(self, request: Message) -> Fields:
        """Return the fields of an answer to ``request``."""
        signature = f"{self.name}.{request.field('x-request-id')}"
        return [*named(request), ("X-Response-Signature", signature)]


def named(request: Message) -> Fields:
    """Return the field that names the request in an answer to it."""
    return [("X-Request-Id", request.field("x-request-id") or "")]


async def answer_done(
    worker: Worker, request: Message, writer: asyncio.StreamWriter
) -> bool:
    """Answer at once."""
    body = f"{worker.name} has run {request.field('x-request-id')}".encode()
    writer.write(encode("HTTP/1.1 200 OK", worker.signed(request), body))
    return True


class _Ports:
    """Free ports below the range of outgoing connections, each given out once."""

    def __init__(self) -> None:
        # Scripts that run beside each other begin far apart.
        self._next = 20_000 + os.getpid() * 61 % 11_000

    def take(self, count: int) -> int:
        """Return the first of ``count`` free ports that follow each other."""
        first = self._next
        while first + count < 32_000:
            taken = next(filter(_is_taken, range(first, first + count)), None)
            if taken is None:
                self._next = first + count
                return first
            first = taken + 1
        raise CaseError("no free ports")


def _is_taken(port: int) -> bool:
    with socket.socket() as sock, socket.socket(type=socket.SOCK_DGRAM) as other:
        try:
            sock.bind(("127.0.0.1", port))
            other.bind(("127.0.0.1", port))
        except OSError:
            return True
    return False


_PORTS = _Ports()


class Node:
    """An instance of the system, started as the deploy file says."""

    def __init__(
        self, name: str, folder: Path, store_port: int, *, limits: dict[str, object]
    ) -> None:
        listen = _PORTS.take(4)
        self.name = name
        self.frontend, self.readiness = listen, listen + 1
        self.control, self.directory = listen + 2, listen + 3
        first = _PORTS.take(16)
        settings = {
            "NodeName": name,
            "Role": "node",
            "MachineClass": "edge",
            "Serves": "edge,directory",
            "Ip": "127.0.0.1",
            "Zone": "z1",
            "Region": "r1",
            "Zones.z1": "r1",
            "Listen.Frontend": f"127.0.0.1:{self.frontend}",
            "Listen.Readiness": f"127.0.0.1:{self.readiness}",
            "Listen.Control": f"127.0.0.1:{self.control}",
            "Listen.Directory": f"127.0.0.1:{self.directory}",
            "PortRange": f"{first},{first + 15}",
            "Bootstrap": "true",
            "Limits.CpuShare": "0.537",
            "Limits.CpuCores": "2",
            "Limits.MemoryMb": "300",
            "Limits.MaxFds": "4100",
            "Limits.LinkMbps": "1000.0",
            "HeartbeatMs": "1200",
            "Bounds.SeedStalenessS": "3",
            "Bounds.ReuseAfterS": "2",
            "Bounds.ContactMs": "3000",
            "Bounds.AckMs": "4000",
            "Bounds.CatchUpS": "4",
            "Bounds.DrainMs": "2000",
            "Bounds.GraceS": "8",
            "Bounds.LossSlackMs": "200",
            "Bounds.ConfigApplyMs": "2000",
            "Bounds.DowngradeMs": "250",
            "Bounds.SkewMaxMs": "5000",
            "Bounds.BudgetRatio": "0.9",
            "Bounds.BudgetWindowS": "10",
            "Bounds.BudgetSlack": "56",
            "Bounds.CanaryShare": "0.15",
            "Bounds.CanarySlack": "30",
            "Bounds.RollbackMs": "5000",
            "Bounds.ColdOver": "1.5",
            "Bounds.ColdSlack": "5",
            "Bounds.EvacuateMs": "5000",
            "Bounds.RecoveryS": "12",
            "Bounds.EventDelayMs": "120",
            "Bounds.SessionS": "5",
            "Bounds.ttl_max_s": "5",
            "Platform.Address": f"127.0.0.1:{store_port}",
            "Platform.form": "table",
            "Platform.WritesPerS": "400",
            "Platform.ReadsPerS": "2000",
            **limits,
        }
        self._settings = folder / f"{name}.conf"
        self._settings.write_text(
            "".join(f"{key}={value}\n" for key, value in settings.items()),
            encoding="utf-8",
        )
        self.log = folder / f"{name}.log"
        self._process: asyncio.subprocess.Process | None = None

    @property
    def pid(self) -> int:
        """Return the id of the process."""
        assert self._process is not None
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self._process is not None and self._process.returncode is None

    async def start(self) -> None:
        """Start the process and wait until it says that it is ready."""
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["FUCHSIAROUTE_NODE_FILE"] = str(self._settings)
        with self.log.open("ab") as output:
            self._process = await asyncio.create_subprocess_exec(
                *("python3", "-S", "target/app/start.py", "node"),
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
            )
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            if not self.is_running:
                raise CaseError(f"{self.name} has ended")
            if await self._is_ready():
                return
            await asyncio.sleep(0.1)
        raise CaseError(f"{self.name} is not ready")

    async def _is_ready(self) -> bool:
        try:
            answer = await ask(self.readiness, "GET /api/ready HTTP/1.1", [])
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            return False
        return answer.status == 200

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def wait(self, seconds: float) -> int | None:
        """Return the exit status, or None if the process still runs."""
        assert self._process is not None
        try:
            async with asyncio.timeout(seconds):
                return await self._process.wait()
        except TimeoutError:
            return None

    def memory_mb(self) -> tuple[float, float]:
        """Return the resident memory now and at its peak, in MB (10**6 bytes)."""
        found = {}
        for line in Path(f"/proc/{self.pid}/status").read_text().splitlines():
            name, _, value = line.partition(":")
            if name in ("VmRSS", "VmHWM"):
                found[name] = int(value.split()[0]) * 1024 / 1e6
        return found["VmRSS"], found["VmHWM"]

    async def stop(self) -> None:
        """End the process, whatever its state."""
        if not self.is_running:
            return
        self.signal(signal.SIGKILL)
        await self.wait(STOP_TIMEOUT_S)


async def ask(
    port: int,
    line: str,
    fields: Fields,
    body: bytes | None = None,
    *,
    within: float = 10.0,
) -> Message:
    """Send one request on a new connection and return the answer."""
    async with asyncio.timeout(within):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            head = [("Host", HOST), *fields]
            if body is None:
                text = "".join(f"{name}: {value}\r\n" for name, value in head)
                writer.write(f"{line}\r\n{text}\r\n".encode("latin-1"))
            else:
                writer.write(encode(line, head, body))
            return await read_message(reader)
        finally:
            writer.transport.abort()


def route(name: str, kind: str, **changes: object) -> dict[str, object]:
    """Return a route of the configuration."""
    return {
        "Host": HOST,
        "Name": name,
        "Prefix": f"/{name}/",
        "Kind": kind,
        "Service": "app",
        "MaxAttempts": 2,
        "TimeoutMs": 8_000,
        "TargetLatencyMs": 400,
        "Priority": 1,
        "Public": False,
        **changes,
    }


def configuration(
    routes: list[dict[str, object]], **limits: object
) -> dict[str, object]:
    """Return the operator's configuration."""
    return {
        "Version": 3,
        "Routes": routes,
        "Services": [{"Name": "app", "MaxConnections": 110, "HealthPath": "/health"}],
        "Limits": {
            "MaxHeaderBytes": 16_384,
            "MaxBodyBytes": 4_194_304,
            "HeaderTimeoutMs": 3_000,
            "IdleTimeoutMs": 15_000,
            **limits,
        },
        "Tenants": [{"Name": TENANT, "ApiKeys": [KEY]}],
    }


class Site:
    """A store, workers and instances that run together."""

    def __init__(self, record: Record, folder: Path) -> None:
        self.record = record
        self.folder = folder
        self.store = Store()
        self.workers: list[Worker] = []
        self.nodes: list[Node] = []
        self._beats: asyncio.Task[None] | None = None

    async def open(
        self, config: dict[str, object], workers: list[Worker], **listen: int
    ) -> None:
        """Start the store and the workers."""
        await self.store.listen()
        await self.store.put("op", "config", config)
        for worker in workers:
            await worker.listen(**listen)
            await worker.announce(self.store)
        self.workers = workers
        self._beats = asyncio.create_task(self._renew())

    async def start_node(self, name: str, **limits: object) -> Node:
        """Start an instance with settings in addition to the usual ones."""
        named_limits = {key.replace("__", "."): value for key, value in limits.items()}
        node = Node(name, self.folder, self.store.port, limits=named_limits)
        self.nodes.append(node)
        await node.start()
        self.record.write(f"{name} is ready")
        return node

    async def _renew(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for worker in self.workers:
                await worker.announce(self.store)

    async def close(self) -> None:
        """End the instances, the workers and the store."""
        if self._beats is not None:
            self._beats.cancel()
        for node in self.nodes:
            await node.stop()
        for listener in (*self.workers, self.store):
            listener.close()


def has_trouble() -> bool:
    """Return whether the disruption is part of the run."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(folder: Path, case: Callable[[Site], Awaitable[str | None]]) -> int:
    """Run ``case``, which returns how the rule was broken; return the exit status."""

    async def main() -> int:
        record = Record(folder / "record.txt")
        record.write(f"with the disruption: {has_trouble()}")
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        with tempfile.TemporaryDirectory() as temporary:
            site = Site(record, Path(temporary))
            try:
                async with asyncio.timeout(110):
                    fault = await case(site)
            except (Exception, asyncio.CancelledError) as error:
                # Only a broken rule may end with its status.
                record.write(f"the case could not run: {error!r}")
                print(f"could not run: {error!r}", file=sys.stderr)
                return NOT_RUN
            finally:
                await site.close()
        record.write(f"rule broken: {fault}" if fault else "the rule held")
        print(fault or "held")
        return BROKEN if fault else HELD

    return asyncio.run(main())
