"""A small deployment on loopback for the cases of review 3: the project's own program, and stand-ins for the platform.

The program is started with the command of `deploy/system.toml`, from the repository root, with settings that are rendered
from its template as DEPLOY.md says. The store, the servers, the routers and the clients are played by one asyncio loop. They
do what PROTOCOL.md allows them; where it is silent, they behave like sound ones.
"""

import asyncio
import errno
import json
import os
import random
import re
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
HEAD = struct.Struct("<IB3sIIHHIIHI")  # echo, flags, pad, seq, ack, len, dport, dst, src, sport, sum
SYN, ACK, FIN, RST = 16, 64, 1, 128
OPENING_TIMES = (0.0, 0.2, 0.6)  # PROTOCOL.md, Flows: a SYN and its two copies
OPENING_END = 1.4
FIRST_REPEAT, LONGEST_REPEAT, MOST_REPEATS = 0.2, 1.6, 8
CANNOT_RUN = 2


def now():
    return time.monotonic()


def number(ip):
    return int.from_bytes(socket.inet_aton(ip), "big")


def packet(flags, seq, ack, source, target, echo=0, data=b"", checksum=1):
    (sip, sport), (dip, dport) = source, target
    return HEAD.pack(echo, flags, b"\0\0\0", seq & 0xFFFFFFFF, ack & 0xFFFFFFFF, len(data), dport, number(dip), number(sip), sport, checksum) + data


class Parsed:
    def __init__(self, raw):
        self.echo, self.flags, _, self.seq, self.ack, _, dport, dst, src, sport, self.checksum = HEAD.unpack(raw[: HEAD.size])
        self.data = raw[HEAD.size :]
        self.source = (socket.inet_ntoa(src.to_bytes(4, "big")), sport)
        self.target = (socket.inet_ntoa(dst.to_bytes(4, "big")), dport)


class Datagrams(asyncio.DatagramProtocol):
    def __init__(self, received):
        self.received = received

    def datagram_received(self, raw, sender):
        self.received(raw, sender)


async def udp(address, received):
    transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(lambda: Datagrams(received), local_addr=address)
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 << 20)
    return transport


def value_at(scopes, path):
    if path == ".":
        return scopes[-1][0]
    for scope, _ in reversed(scopes):
        value = scope
        for part in path.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                value = None
                break
        if value is not None:
            return value
    return None


def text_of(value, is_json):
    if is_json:
        return json.dumps(value)
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(text_of(item, False) for item in value)
    return json.dumps(value) if isinstance(value, dict) else str(value)


def rendered(template, scopes):
    """Fills in a template as DEPLOY.md says: {{a.b}}, {{a|json}}, {{#a}}..{{/a}}, {{^a}}..{{/a}}, {{.}}, {{@}} and {{,}}."""
    result, rest = "", template
    while (found := re.search(r"\{\{([#^]?)([^{}/]+)\}\}", rest)) is not None:
        result += rest[: found.start()]
        rest = rest[found.end() :]
        kind, name = found.group(1), found.group(2).strip()
        if not kind:
            if name == ",":
                result += scopes[-1][1][1]
            elif name == "@":
                result += str(scopes[-1][1][0])
            else:
                result += text_of(value_at(scopes, name.removesuffix("|json")), name.endswith("|json"))
            continue
        end = rest.index("{{/" + name + "}}")
        inner, rest = rest[:end], rest[end + len(name) + 5 :]
        value = value_at(scopes, name)
        if kind == "^":
            result += inner and (rendered(inner, scopes) if value in (None, False) or value == [] else "")
        elif isinstance(value, (list, dict)):
            items = list(value.items()) if isinstance(value, dict) else list(enumerate(value))
            for index, (key, item) in enumerate(items):
                result += rendered(inner, [*scopes, (item, (key, "," if index + 1 < len(items) else ""))])
        elif value not in (None, False):
            result += rendered(inner, [*scopes, (value, ("", ""))])
    return result + rest


class Signal:
    """Wakes all who wait at that moment."""

    def __init__(self):
        self.event = asyncio.Event()

    def notify(self):
        self.event.set()
        self.event = asyncio.Event()

    async def wait(self, seconds):
        try:
            await asyncio.wait_for(self.event.wait(), max(seconds, 0.001))
        except asyncio.TimeoutError:
            pass


class Store:
    """Objects by kind with one revision counter, lists and watches. A write is acknowledged when it returns."""

    def __init__(self):
        self.kinds, self.history, self.revision, self.calls = {"servers": {}, "config": {}}, [], 1, 0
        self.pending = {}  # number of calls that wait for their answer, by address of the store
        self.changed = Signal()
        self.turns_away = lambda ip: False  # whether a call to this address of the store gets no answer; asked when a call comes and before its answer

    async def write(self, kind, name, spec):
        if spec is None and name not in self.kinds[kind]:
            return
        self.revision += 1
        meta = {"name": name, "revision": self.revision, "created": 1, "finalizers": [], "deleting": False}
        item = {"meta": meta, "spec": spec if spec is not None else self.kinds[kind][name]["spec"], "status": None}
        if spec is None:
            del self.kinds[kind][name]
        else:
            self.kinds[kind][name] = item
        self.history.append((self.revision, kind, {"removed": spec is None, "object": item}))
        self.changed.notify()

    async def serve(self, reader, writer):
        try:
            line = (await reader.readline()).decode()
            while (await reader.readline()).strip():
                pass
            self.calls += 1
            ip = writer.get_extra_info("sockname")[0]
            self.pending[ip] = self.pending.get(ip, 0) + 1
            try:
                if self.turns_away(ip):
                    await asyncio.sleep(60)
                status, body = await self.answer(line.split(" ")[1])
                if self.turns_away(ip):
                    await asyncio.sleep(60)
            finally:
                self.pending[ip] -= 1
            text = json.dumps(body).encode()
            writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(text)}\r\nConnection: close\r\n\r\n".encode() + text)
            await writer.drain()
        except (OSError, IndexError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the caller has gone, or the run is over
        finally:
            writer.close()

    async def answer(self, target):
        await asyncio.sleep(0.004)
        url = urllib.parse.urlparse(target)
        kind, query = url.path.split("/")[2], urllib.parse.parse_qs(url.query)
        if kind not in self.kinds:
            self.kinds[kind] = {}
        if "watch" not in query:
            items = sorted(self.kinds[kind].values(), key=lambda item: item["meta"]["name"])
            return 200, {"items": items, "has_more": False, "as_of": self.revision}
        since, wait_end = int(query["watch"][0]), now() + int(query.get("wait_ms", ["0"])[0]) / 1000
        while True:
            events = [event for revision, of_kind, event in self.history if revision > since and of_kind == kind]
            if events or now() >= wait_end:
                return 200, {"events": events, "as_of": self.revision}
            await self.changed.wait(wait_end - now())


class Server:
    """One server: a UDP port for packets of flows, and the same TCP port for health checks."""

    work_s = 0.005

    def __init__(self, world, ident, address, service, zone, most_flows):
        self.world, self.ident, self.address, self.service, self.zone, self.most_flows = world, ident, address, service, zone, most_flows
        self.flows, self.state, self.born = {}, "ready", int(time.time() * 1000)

    @property
    def name(self):
        return f"i-{self.ident:x}"

    async def start(self):
        self.socket = await udp(self.address, self.received)
        self.health = await asyncio.start_server(self.check, *self.address)
        await self.register()

    async def register(self):
        spec = {"service": self.service, "address": f"{self.address[0]}:{self.address[1]}", "zone": self.zone, "version": "v1", "concurrency": 2,
                "state": self.state, "warmup_left_ms": 0, "sequence": 1, "born": self.born}
        await self.world.store.write("servers", self.name, spec)

    async def check(self, reader, writer):
        try:
            await reader.readline()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
            await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()

    def received(self, raw, sender):
        if int.from_bytes(raw[:8], "big") not in (0, self.ident):
            return  # it is not the intended server
        got = Parsed(raw[8:])
        key = (got.source, got.target)
        flow = self.flows.get(key)
        if got.flags & SYN:
            if flow is None:
                if len(self.flows) >= self.most_flows:
                    self.world.note_full(self, got)
                    return  # it sends nothing if it is full
                flow = self.flows[key] = {"next": got.seq + 1, "own": random.getrandbits(31), "answers": {}, "is_open": False}
                flow["sent"] = flow["own"] + 1
                self.world.note_taken(self, got, sender[0])
            self.send(key, SYN | ACK, flow["own"], flow["next"], got.echo)
            return
        if flow is not None and not flow["is_open"]:
            flow["is_open"] = got.ack == (flow["own"] + 1) & 0xFFFFFFFF  # else the flow opened at another server that answered a copy
        if flow is None or not flow["is_open"]:
            if not got.flags & RST:
                self.send(key, RST, got.ack, 0, 0)  # it does not hold this flow
            return
        if got.flags & RST:
            del self.flows[key]
            return
        if got.data and got.seq & 0xFFFFFFFF == flow["next"] & 0xFFFFFFFF:
            flow["next"] += len(got.data)
            asyncio.get_running_loop().call_later(self.work_s, self.respond, key, flow, got)
        elif got.data and got.seq in flow["answers"]:
            self.send(key, ACK, *flow["answers"][got.seq], got.echo)
        if got.flags & FIN:
            flow["next"] += 1
            self.send(key, FIN | ACK, flow["sent"], flow["next"], got.echo)
            del self.flows[key]

    def respond(self, key, flow, got):
        if self.flows.get(key) is not flow:
            return
        data = b"%s " % self.name.encode() + got.data
        self.world.note_run(self, key, got.data)
        flow["answers"] = {got.seq: (flow["sent"], flow["next"])}
        self.send(key, ACK, flow["sent"], flow["next"], got.echo, data)
        flow["sent"] += len(data)

    def send(self, key, flags, seq, ack, echo, data=b""):
        source, target = key
        self.socket.sendto(packet(flags, seq, ack, target, source, echo, data), (source[0], self.world.ingress))


class World:
    """One running system with its platform. `record` lines go to `record.txt`."""

    def __init__(self, folder, zones=("za", "zb", "zc"), per_zone=1):
        self.folder = Path(folder)
        self.record_file = open(self.folder / "record.txt", "w", encoding="utf-8")
        self.network, self.guard = self.free_network()  # the guard stays open until this process ends
        self.ingress, self.readiness, self.control, self.store_port, self.peer = self.free_ports(5)
        self.zones = zones
        self.bounds = {"drain_timeout_ms": 3000, "config_apply_ms": 3000, "stability_window_ms": 4000}  # of the sheets; others as on brookshell-edge
        self.machines = [{"name": f"frontend-{zone}-{index + 1}", "zone": zone, "ip": f"127.{self.network}.{10 + number_}.{10 + index}", "process": None,
                          "ready": False, "store_ip": f"127.{self.network}.{100 + number_}.{10 + index}"} for number_, zone in enumerate(zones) for index in range(per_zone)]
        self.servers, self.tasks, self.is_over, self.started = [], [], False, now()
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        with open(ROOT / "deploy/system.toml", "rb") as file:
            self.role = next(iter(tomllib.load(file)["roles"].values()))

    def free_network(self):
        """@returns the second number of all addresses of this run, and a socket that keeps others from using it"""
        while True:
            network, guard = random.randint(20, 250), socket.socket()
            try:
                guard.bind((f"127.{network}.3.3", 18079))
                return network, guard
            except OSError:
                guard.close()

    def free_ports(self, count):
        sockets, ports = [], []
        while len(ports) < count:
            sock = socket.socket()
            sock.bind(("127.0.0.1", 0))
            sockets.append(sock)
            ports.append(sock.getsockname()[1])
        for sock in sockets:
            sock.close()
        return ports

    def record(self, text):
        self.record_file.write(f"{now() - self.started:9.3f} {text}\n")

    def note_full(self, server, got):
        self.record(f"{server.name} of {server.service} is full: no answer to {got.source[0]}:{got.source[1]} copy {got.ack}")

    def note_taken(self, server, got, via):
        pass

    def note_run(self, server, key, data):
        pass

    def settings_of(self, machine):
        ip = machine["ip"]
        listen = {"datagram_addr": f"{ip}:{self.ingress}", "readiness_addr": f"{ip}:{self.readiness}", "control_plane": f"{ip}:{self.control}"}
        bounds = {"seed_lag_s": 3, "reuse_after_s": 2, "stability_window_ms": 4000, "ack_timeout_ms": 5000, "catch_up_s": 4, "drain_timeout_ms": 3000,
                  "grace_period_s": 6, "loss_slack_ms": 200, "config_apply_ms": 3000, "rollback_slack_ms": 250, "max_skew_ms": 12000, "recovery_s": 12,
                  "flow_stray_ms": 2000, "max_flow_s": 60, **self.bounds}
        return {"node_name": machine["name"], "role": "entry", "machine_class": "frontend", "serves": ["frontend", "control_plane"], "ip": ip,
                "zone": machine["zone"], "region": "r", "internal_port_range": [self.peer, self.peer + 15],
                "seed_nodes": [f"{other['ip']}:{self.control}" for other in self.machines[:3]], "bootstrap": True, "counts_as_loss": False,
                "discovery": "platform", "entry": "announcement", "heartbeat_interval_ms": 1200,
                "contracts": ["base", "drain", "config", "cost", "recover", "flows", "platform"], "hash": "mod", "forwarding_mode": "echo",
                "zones": {zone: "r" for zone in self.zones}, "listen_addrs": listen, "bounds": bounds,
                "platform": {"address": f"{machine['store_ip']}:{self.store_port}", "forwarding_mode": "objects", "writes_per_s": 400,
                             "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576, "min_ttl_ms": 1000}}

    def write_settings(self, machine):
        """@returns the path of the machine's settings file, which is written anew as a whole"""
        template = (ROOT / self.role["template"]).read_text(encoding="utf-8")
        path = Path(self.temporary.name) / f"{machine['name']}.settings"
        whole = path.with_suffix(".new")
        whole.write_text(rendered(template, [(self.settings_of(machine), ("", ""))]), encoding="utf-8")
        whole.replace(path)
        return path

    def start_machine(self, machine):
        path = self.write_settings(machine)
        environment = {"PATH": os.environ.get("PATH", "/usr/bin:/bin"), "HOME": self.temporary.name, "SAPPHIRESPAN_NODE_FILE": str(path)}
        log = open(Path(self.temporary.name) / f"{machine['name']}.log", "ab")
        machine["process"] = subprocess.Popen(self.role["run"].split(), cwd=ROOT, env=environment, stdout=log, stderr=log, stdin=subprocess.DEVNULL)

    async def is_ready(self, machine):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(machine["ip"], self.readiness), 0.4)
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 0.4)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def watch_readiness(self, machine):
        """Asks twice a second; after two misses a node is out of rotation until it responds with 200 again."""
        misses = 0
        while not self.is_over:
            misses = 0 if (is_ready := await self.is_ready(machine)) else misses + 1
            machine["ready"] = is_ready or (machine["ready"] and misses < 2)
            machine["checked_at"] = now()
            await asyncio.sleep(0.5)

    def machine_for(self, zone, ends):
        """The routers' choice: a hash over the nodes of the client's zone that are in rotation, `mod`."""
        mine = [machine for machine in self.machines if machine["zone"] == zone]
        ready = [machine for machine in mine if machine["ready"]]
        rotation = ready if 2 * len(ready) >= len(mine) else mine
        return rotation[hash((ends[0][0], ends[0][1], ends[1][0], ends[1][1])) % len(rotation)]

    async def add_server(self, service, zone, most_flows=2000):
        index = len(self.servers)
        address = (f"127.{self.network}.2.{index + 1}", 8080)
        server = Server(self, 0xE1000000 + random.getrandbits(20) * 64 + index, address, service, zone, most_flows)
        self.servers.append(server)
        await server.start()
        return server

    async def configure(self, version, routes, services):
        """@param routes service by (address, port)"""
        body = {"version": version, "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
                "routes": [{"name": f"r-{index}", "hostname": ip, "path_prefix": f"/{port}/", "type": "unsafe", "timeout_ms": 4000, "target_latency_ms": 400,
                            "priority": 1, "service": service, "max_attempts": 2} for index, ((ip, port), service) in enumerate(routes.items())],
                "services": [{"name": name, "health_check_path": "/healthz", "max_connections": most, "protocol": "h1", "tls": False}
                             for name, most in services.items()]}
        await self.store.write("config", "main", body)
        self.record(f"the store acknowledged version {version}: " + ", ".join(f"{ip}:{port} to {service}" for (ip, port), service in routes.items()))

    async def start_store(self):
        self.store = Store()
        for machine in self.machines:  # each machine reaches the store at an address of its own, so that the store can tell them apart
            machine["store_server"] = await asyncio.start_server(self.store.serve, machine["store_ip"], self.store_port)

    async def start_machines(self):
        for machine in self.machines:
            self.start_machine(machine)
            self.tasks.append(asyncio.create_task(self.watch_readiness(machine)))
        end = now() + 15
        while not all(machine["ready"] for machine in self.machines):
            if now() > end:
                raise RuntimeError("the machines did not get ready")
            await asyncio.sleep(0.05)
        self.record("all machines are ready")

    def stop(self):
        self.is_over = True
        for task in self.tasks:
            task.cancel()
        for machine in self.machines:
            process = machine["process"]
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            if process is not None:
                process.wait()
        self.record_file.close()


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(case):
    """Runs a coroutine function that returns whether the rule held. @returns the exit code"""
    for _ in range(3):
        try:
            return 0 if asyncio.run(asyncio.wait_for(case(), 110)) else 1
        except Exception as error:  # whatever it is, the case could not run
            print(f"the case could not run: {error!r}")
            if not isinstance(error, OSError) or error.errno != errno.EADDRINUSE:
                break  # else someone else took a port meanwhile
    return CANNOT_RUN
