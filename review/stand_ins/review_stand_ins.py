"""
Stand-ins for the platform, endpoints and callers, and the processes under test.

Everything listens on loopback addresses. Instances are started with the command of
``deploy/system.toml``; their addresses are in a network of their own, 127.X.Y.0/24, as
all instances of a deployment use the same ports.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import SystemRandom
from socket import SO_LINGER, SO_REUSEADDR, SOL_SOCKET, socket
from struct import pack
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "front.example"
KEY, ORGANISATION = "key-1", "org"
PORTS = {"callers": 18227, "ready": 18220, "control": 18229, "directory": 18224}
PEER_PORTS = (17340, 17355)
#: Bounds of the deployment sheet of tpw-fleet.
BOUNDS: dict[str, float | str] = {
    "SeedStalenessS": 3,
    "ReuseAfterS": 2,
    "ContactMs": 3000,
    "AckMs": 4000,
    "CatchUpS": 4,
    "DrainMs": 2000,
    "GraceS": 8,
    "LossSlackMs": 200,
    "ConfigApplyMs": 2000,
    "DowngradeMs": 250,
    "SkewMaxMs": 5000,
    "StrictRevoke": "false",
    "RevokeMs": 5000,
    "BudgetRatio": 0.9,
    "BudgetWindowS": 10,
    "BudgetSlack": 56,
    "CanaryShare": 0.15,
    "CanarySlack": 30,
    "RollbackMs": 5000,
    "ColdOver": 1.5,
    "ColdSlack": 5,
    "EvacuateMs": 5000,
    "RecoveryS": 12,
    "EventDelayMs": 120,
    "ReuseWindowS": 7.9,
    "SessionS": 5,
    "ttl_max_s": 5,
}
_LINGER_ZERO = pack("ii", 1, 0)
_START = time.monotonic()


class CannotRunError(Exception):
    """The case cannot run here; its script exits with 2."""


def now() -> int:
    """Return the milliseconds since the start of the script."""
    return round((time.monotonic() - _START) * 1_000)


class Record:
    """Lines of what was sent, answered and run, for ``record.txt``."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")

    def write(self, event: str, **fields: object) -> None:
        """Write one line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{now():>7} {event} {text}\n")

    def say(self, text: str) -> None:
        """Write a line of the result, also to standard output."""
        print(text, flush=True)
        self._file.write(f"{now():>7} RESULT {text}\n")

    def close(self) -> None:
        """Write what is buffered."""
        self._file.close()


@dataclass(kw_only=True)
class Request:
    """A request that a stand-in received."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return urlsplit(self.target).path

    @property
    def query(self) -> dict[str, str]:
        """Return the fields of the query."""
        return {k: v[0] for k, v in parse_qs(urlsplit(self.target).query).items()}


def response_head(status: int, headers: dict[str, str]) -> bytes:
    """Return a status line and a header section."""
    lines = [f"HTTP/1.1 {status} X", *(f"{k}: {v}" for k, v in headers.items())]
    return "\r\n".join([*lines, "", ""]).encode()


def whole_response(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Return a response with its length."""
    return response_head(status, {**headers, "Content-Length": str(len(body))}) + body


class Server:
    """An HTTP/1.1 server with persistent connections."""

    def __init__(self) -> None:
        self.address = ""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def listen(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accept, host, port)
        found = self._server.sockets[0].getsockname()
        self.address = f"{found[0]}:{found[1]}"

    def stop(self) -> None:
        """End as a killed process does: reset all connections, listen no more."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            reset(writer)
        for task in list(self._tasks):
            task.cancel()

    async def handle(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Answer one request."""
        raise NotImplementedError

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            while True:
                request = await _read_request(reader)
                if request is None:
                    return
                await self.handle(request, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            # The other side has closed the connection.
            return
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)
            writer.close()


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    found = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        found.setsockopt(SOL_SOCKET, SO_LINGER, _LINGER_ZERO)
    writer.transport.abort()


async def _read_request(reader: asyncio.StreamReader) -> Request | None:
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head.split("\r\n")[:-2]
    method, target, _ = first.split(" ")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method=method, target=target, headers=headers, body=body)


class Store(Server):
    """The platform's store: rows, transactions and the feed of changes."""

    def __init__(self, record: Record) -> None:
        super().__init__()
        self._record = record
        self._rows: dict[tuple[str, str], tuple[bytes | None, int]] = {}
        self._version = 0
        self._changed = asyncio.Event()
        #: Called with table, key and value of each row that the system writes.
        self.on_write: Callable[[str, str, bytes], None] = lambda *row: None

    def put(self, table: str, key: str, value: object | None) -> int:
        """
        Write a row as operators and endpoints do; return the time.

        ``value`` is bytes as they are, or anything that is written as JSON. None
        removes the row.
        """
        self._version += 1
        self._set(table, key, value, self._version)
        self._notify()
        return now()

    def text(self, table: str, key: str) -> bytes | None:
        """Return the value of a row; None if there is none."""
        return self._rows.get((table, key), (None, 0))[0]

    def _set(self, table: str, key: str, value: object | None, version: int) -> None:
        data = value
        if data is not None and not isinstance(data, bytes):
            data = json.dumps(data).encode()
        self._rows[table, key] = (data, version)
        shown = None if data is None else data[:160].decode("latin-1")
        self._record.write("store", table=table, key=key, version=version, value=shown)

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Answer one call."""
        name = request.path.rpartition("/")[2]
        calls = {"rows-get": self._get, "rows-feed": self._feed, "rows-tx": self._tx}
        status, body = await calls[name](request)
        answer = {**body, "SchemaVersion": self._version, "NowMs": now() + 1_000}
        headers = {"Content-Type": "application/json", "Store-Era": "1"}
        writer.write(whole_response(status, headers, json.dumps(answer).encode()))

    async def _get(self, request: Request) -> tuple[int, dict[str, Any]]:
        query = request.query
        keys = sorted(
            key
            for table, key in self._rows
            if table == query["Table"]
            and key >= query.get("From", "")
            and self._rows[table, key][0] is not None
        )
        limit = int(query.get("Limit", "500"))
        rows = [self._row(query["Table"], key) for key in keys[:limit]]
        return 200, {"Rows": rows, "HasMore": len(keys) > limit}

    async def _feed(self, request: Request) -> tuple[int, dict[str, Any]]:
        table, after = request.query["Table"], int(request.query["After"])
        deadline = time.monotonic() + int(request.query["WaitMs"]) / 1_000
        while True:
            rows = [
                self._row(*name)
                for name, (_, version) in self._rows.items()
                if name[0] == table and version > after
            ]
            left = deadline - time.monotonic()
            if rows or left <= 0:
                rows.sort(key=lambda row: row["SchemaVersion"])
                return 200, {"Rows": rows}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await self._changed.wait()

    async def _tx(self, request: Request) -> tuple[int, dict[str, Any]]:
        change = json.loads(request.body)
        checked = change["Precondition"]
        for row in checked:
            found = self._rows.get((row["Table"], row["Key"]), (None, 0))
            version = 0 if found[0] is None else found[1]
            if version != row["SchemaVersion"]:
                rows = [self._row(item["Table"], item["Key"]) for item in checked]
                return 412, {"Rows": rows}
        if any(row["Table"] in ("op", "servers") for row in change["Puts"]):
            return 403, {}
        self._version += 1
        for row in change["Puts"]:
            value = base64.b64decode(row["Value"])
            self._set(row["Table"], row["Key"], value, self._version)
            self.on_write(row["Table"], row["Key"], value)
        self._notify()
        return 200, {}

    def _row(self, table: str, key: str) -> dict[str, Any]:
        data, version = self._rows.get((table, key), (None, 0))
        row = {"Table": table, "part": "", "Key": key, "SchemaVersion": version}
        if data is None:
            return {**row, "Deleted": True}
        return {**row, "Value": base64.b64encode(data).decode()}


class Link:
    """Forwards connections to a server; open ones can be silenced for good."""

    def __init__(self, address: str) -> None:
        self._target = address.rpartition(":")
        self._server: asyncio.Server | None = None
        self._silent: list[asyncio.Event] = []
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def listen(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def silence(self) -> None:
        """Forward nothing more on the open connections; new ones work."""
        for event in self._silent:
            event.set()
        self._silent = []

    def stop(self) -> None:
        """Reset all connections and listen no more."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            reset(writer)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self._target
        upstream = await asyncio.open_connection(host, int(port))
        is_silent = asyncio.Event()
        self._silent.append(is_silent)
        writers = {writer, upstream[1]}
        self._writers |= writers
        try:
            await asyncio.gather(
                self._forward(reader, upstream[1], is_silent),
                self._forward(upstream[0], writer, is_silent),
            )
        except OSError:
            # One side has reset its connection.
            return
        finally:
            self._writers -= writers
            for item in writers:
                item.close()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_silent: asyncio.Event,
    ) -> None:
        while data := await reader.read(65_536):
            if not is_silent.is_set():
                writer.write(data)
                await writer.drain()
        if not is_silent.is_set():
            writer.close()


@dataclass(kw_only=True)
class Run:
    """A request that an endpoint received, and what became of it."""

    request_id: str
    endpoint: str
    version: str
    received_at: int
    #: Whether the endpoint worked on it.
    is_run: bool = True
    ended_at: int | None = None
    #: Whether the whole answer was written.
    is_complete: bool = False
    headers: dict[str, str] = field(default_factory=dict)


Behave = Callable[["Worker", Request, asyncio.StreamWriter, Run], Awaitable[None]]


class Worker(Server):
    """An endpoint that announces itself and records what it runs."""

    _numbers = itertools.count(1)

    def __init__(
        self,
        store: Store,
        record: Record,
        *,
        service: str,
        behave: Behave,
        zone: str = "z1",
        version: str = "v1",
        slots: int = 16,
    ) -> None:
        super().__init__()
        self.id = f"i-{version}-{next(self._numbers):04d}"
        self.service, self.zone, self.version = service, zone, version
        self.runs: list[Run] = []
        self._slots = slots
        self._store = store
        self._record = record
        self._behave = behave
        self._seq = itertools.count(1)
        self._born = round(time.time() * 1_000)

    async def start(self) -> None:
        """Listen and register."""
        await self.listen()
        self.announce()

    def announce(self, state: str = "ready", **changes: object) -> int:
        """Write the entry of this worker; return the time."""
        entry: dict[str, object] = {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": self.version,
            "Slots": self._slots,
            "State": state,
            "ColdLeftMs": 0,
            "Seq": next(self._seq),
            "born": self._born,
            **changes,
        }
        return self._store.put("servers", self.id, entry)

    def leave(self) -> int:
        """Remove the entry; return the time."""
        return self._store.put("servers", self.id, None)

    @property
    def running(self) -> int:
        """Return the number of requests in progress."""
        return sum(run.is_run and run.ended_at is None for run in self.runs)

    async def handle(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Run one request, or reject it."""
        request_id = request.headers.get("x-request-id", "")
        run = Run(
            request_id=request_id,
            endpoint=self.id,
            version=self.version,
            received_at=now(),
            headers=request.headers,
        )
        expected = request.headers.get("x-expect-instance", self.id)
        rejection = 421 if expected != self.id else None
        if rejection is None and self.running >= self._slots:
            rejection = 503
        self.runs.append(run)
        self._record.write(
            "received",
            request=request_id,
            at=self.id,
            version=self.version,
            rejected=rejection,
        )
        if rejection is not None:
            run.is_run = False
            headers = {"X-Request-Id": request_id, "X-Not-Executed": "1"}
            writer.write(whole_response(rejection, headers, b""))
            return
        try:
            await self._behave(self, request, writer, run)
        finally:
            run.ended_at = now()
            self._record.write(
                "ended", request=request_id, at=self.id, complete=run.is_complete
            )

    def headers(self, run: Run) -> dict[str, str]:
        """Return the headers of the answer to a run."""
        signature = f"sig.{self.id}.{run.request_id}"
        return {"X-Request-Id": run.request_id, "X-Response-Signature": signature}


def plain(seconds: float) -> Behave:
    """Return a behaviour: answer after some work."""

    async def behave(
        worker: Worker, request: Request, writer: asyncio.StreamWriter, run: Run
    ) -> None:
        await asyncio.sleep(seconds)
        body = f"answer to {run.request_id}".encode()
        writer.write(whole_response(200, worker.headers(run), body))
        run.is_complete = True

    return behave


def stream(events: int, pause: float) -> Behave:
    """Return a behaviour: send events, one each ``pause`` seconds."""

    async def behave(
        worker: Worker, request: Request, writer: asyncio.StreamWriter, run: Run
    ) -> None:
        headers = {
            **worker.headers(run),
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        writer.write(response_head(200, headers))
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, events + 1):
            await asyncio.sleep(pause)
            event = f"id: {number}\ndata: {run.request_id}:{number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        run.is_complete = True

    return behave


@dataclass(kw_only=True)
class Answer:
    """What a caller got; status 0 if the connection ended without an answer."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False


class Caller:
    """Sends requests to one instance over one persistent connection."""

    def __init__(self, address: str, record: Record) -> None:
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._record = record
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def ask(
        self,
        path: str,
        request_id: str,
        *,
        headers: dict[str, str] | None = None,
        deadline_ms: int = 4_000,
        body: bytes = b"body",
    ) -> Answer:
        """Send one request and return its answer."""
        fields = {
            "Host": HOST,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(deadline_ms),
            "X-Key": KEY,
            "Content-Length": str(len(body)),
            **(headers or {}),
        }
        lines = [f"POST {path} HTTP/1.1", *(f"{k}: {v}" for k, v in fields.items())]
        self._record.write("sent", request=request_id, to=self._host, path=path)
        answer = Answer()
        try:
            async with asyncio.timeout(deadline_ms / 1_000 + 1):
                reader, writer = await self._connection()
                writer.write("\r\n".join([*lines, "", ""]).encode() + body)
                await _read_answer(reader, answer)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            # The answer is marked as not whole.
            self.close()
        if answer.headers.get("connection", "").lower() == "close":
            self.close()
        self._record.write(
            "answered",
            request=request_id,
            status=answer.status,
            whole=answer.is_whole,
            signature=answer.headers.get("x-response-signature"),
        )
        return answer

    async def _connection(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        if self._streams is None or self._streams[0].at_eof():
            self.close()
            self._streams = await asyncio.open_connection(self._host, self._port)
        return self._streams

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].close()
        self._streams = None


async def _read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")[:-2]
    for line in lines:
        name, _, value = line.partition(":")
        answer.headers[name.strip().lower()] = value.strip()
    answer.status = int(first.split(" ")[1])
    if "content-length" in answer.headers:
        size = int(answer.headers["content-length"])
        answer.body = await reader.readexactly(size)
    else:
        while size := int(await reader.readuntil(b"\r\n"), 16):
            answer.body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
    answer.is_whole = True


class Instance:
    """A process of the system."""

    def __init__(
        self,
        name: str,
        *,
        zone: str,
        ip: str,
        store: str,
        folder: Path,
        memory: int,
        bounds: dict[str, float | str],
    ) -> None:
        self.name, self.ip = name, ip
        self.address = f"{ip}:{PORTS['callers']}"
        self._settings = folder / f"{name}.conf"
        self._log = folder / f"{name}.log"
        fields: dict[str, object] = {
            "NodeName": name,
            "Role": "node",
            "MachineClass": "edge",
            "Serves": "edge,directory",
            "Ip": ip,
            "Zone": zone,
            "Region": "r1",
            "Listen.Frontend": self.address,
            "Listen.Readiness": f"{ip}:{PORTS['ready']}",
            "Listen.Control": f"{ip}:{PORTS['control']}",
            "Listen.Directory": f"{ip}:{PORTS['directory']}",
            "PortRange": ",".join(map(str, PEER_PORTS)),
            "Limits.MemoryMb": memory,
            "Limits.MaxFds": 4_100,
            "HeartbeatMs": 1_200,
            "Platform.Address": store,
            **{f"Bounds.{name}": value for name, value in bounds.items()},
        }
        self._fields = fields
        self._write_settings()
        self.process: subprocess.Popen[bytes] | None = None

    def set_store(self, address: str) -> None:
        """Write another address of the store into the settings file."""
        self._fields["Platform.Address"] = address
        self._write_settings()

    def _write_settings(self) -> None:
        text = "".join(f"{name}={value}\n" for name, value in self._fields.items())
        new = self._settings.with_suffix(".new")
        new.write_text(text)
        new.replace(self._settings)

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        with self._log.open("ab") as output:
            self.process = subprocess.Popen(
                ["python3", "-S", "target/app/start.py", "node"],
                cwd=ROOT,
                env={
                    "PATH": os.environ.get("PATH", ""),
                    "HOME": os.environ.get("HOME", "/tmp"),
                    "PYTHONPATH": "target/deps",
                    "FUCHSIAROUTE_NODE_FILE": str(self._settings),
                },
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process if it runs, and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def events(self, name: str) -> list[dict[str, Any]]:
        """Return the log lines of one event."""
        found = []
        for line in self._log.read_text(errors="replace").splitlines():
            with contextlib.suppress(ValueError):
                fields = json.loads(line)
                if isinstance(fields, dict) and name in fields.values():
                    found.append(fields)
        return found

    async def is_ready(self) -> bool:
        """Return whether the readiness check succeeds."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(self.ip, PORTS["ready"])
                writer.write(b"GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        except (OSError, TimeoutError):
            # Not listening yet, or not answering.
            return False


def route(name: str, kind: str, service: str, **changes: object) -> dict[str, object]:
    """Return a route of the configuration; its prefix is its name."""
    return {
        "Host": HOST,
        "Name": name,
        "Prefix": f"/{name}/",
        "Kind": kind,
        "Service": service,
        "MaxAttempts": 3,
        "TimeoutMs": 8_000,
        "TargetLatencyMs": 400,
        "GapTargetMs": 1_000,
        "Priority": 1,
        **changes,
    }


def service(name: str, **changes: object) -> dict[str, object]:
    """Return a service of the configuration."""
    return {
        "Name": name,
        "MaxConnections": 200,
        "HealthPath": "/health",
        "ColdStartS": 0,
        "ColdPerS": 20,
        **changes,
    }


class Deployment:
    """A small deployment: the store, workers and instances."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.store = Store(record)
        self.instances: list[Instance] = []
        #: Links of the instances to the store, in their order.
        self.store_links: list[Link] = []
        self.workers: list[Worker] = []
        #: Bounds in the settings of the instances.
        self.bounds = dict(BOUNDS)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))

    async def start(
        self, *, instances: int, configuration: dict[str, object], memory: int = 300
    ) -> None:
        """Start the store and the instances, and wait until these are ready."""
        await self.store.listen()
        self.configure(configuration)
        network = _free_network(instances)
        for number in range(1, instances + 1):
            link = Link(self.store.address)
            await link.listen()
            self.store_links.append(link)
            instance = Instance(
                f"edge-{number}",
                zone=f"z{(number - 1) % 3 + 1}",
                ip=f"{network}.{number}",
                store=link.address,
                folder=self.folder,
                memory=memory,
                bounds=self.bounds,
            )
            self.instances.append(instance)
            instance.start()
        await self.wait_ready()

    async def wait_ready(self) -> None:
        """Wait until all instances are ready."""
        deadline = now() + 30_000
        while not all([await item.is_ready() for item in self.instances]):
            if now() > deadline:
                raise CannotRunError(f"instances not ready; logs in {self.folder}")
            await asyncio.sleep(0.1)

    def configure(self, configuration: dict[str, object]) -> int:
        """Write a configuration; return the time."""
        tenants = [{"Name": ORGANISATION, "ApiKeys": [KEY]}]
        return self.store.put("op", "config", {"Tenants": tenants, **configuration})

    async def add_worker(self, name: str, behave: Behave, **fields: Any) -> Worker:
        """Start a worker of the service ``name``."""
        worker = Worker(self.store, self.record, service=name, behave=behave, **fields)
        self.workers.append(worker)
        await worker.start()
        return worker

    def runs(self) -> list[Run]:
        """Return all requests that workers received, in order."""
        found = [run for worker in self.workers for run in worker.runs]
        return sorted(found, key=lambda run: run.received_at)

    def close(self) -> None:
        """End all processes and servers."""
        for instance in self.instances:
            instance.kill()
        for worker in self.workers:
            worker.stop()
        for link in self.store_links:
            link.stop()
        self.store.stop()


def _free_network(count: int) -> str:
    """Return a loopback network in which all ports of instances are free."""
    random = SystemRandom()
    ports = [*PORTS.values(), *PEER_PORTS]
    for _ in range(50):
        network = f"127.{random.randrange(20, 200)}.{random.randrange(1, 255)}"
        try:
            for number, port in itertools.product(range(1, count + 1), ports):
                with socket() as probe:
                    probe.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
                    probe.bind((f"{network}.{number}", port))
        except OSError:
            continue
        return network
    raise CannotRunError("no loopback network with free ports")


Case = Callable[[Deployment, bool], Awaitable[bool]]


def main(folder: Path, case: Case, *, limit_s: float = 110.0) -> None:
    """
    Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if it did not run.

    ``case`` gets the deployment and whether to play the disruption, and returns whether
    the rule held.
    """
    record = Record(folder)
    deployment = Deployment(record)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def play() -> bool:
        try:
            async with asyncio.timeout(limit_s):
                return await case(deployment, has_trouble)
        finally:
            deployment.close()
            await asyncio.sleep(0.1)

    status = 2
    # Ends the processes under test as well if the script itself is ended.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))
    try:
        status = 0 if asyncio.run(play()) else 1
    except Exception as error:
        # Only a check that has been made may end with 0 or 1.
        record.say(f"cannot run: {error!r}")
    finally:
        record.say(
            f"exit {status}, disruption {'played' if has_trouble else 'left out'}"
        )
        record.close()
    sys.exit(status)
