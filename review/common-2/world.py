"""A small deployment on loopback: seven instances that are started as the deploy file says, a store in a process of its own, and
routers, servers and clients that one asyncio loop plays as PROTOCOL.md says.

Every process is started here and ended by its id. Settings are rendered from the template of the deploy file.
"""

import asyncio
import json
import os
import random
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import zlib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "review"))
from options import IS_SHORT, command_of  # noqa: E402
from template import render  # noqa: E402

HEAD = struct.Struct("<IB3sIIHHIIHI")  # echo, flags, pad, seq, ack, len, dport, dst, src, sport, sum
FIN, SYN, ACK, RST = 1, 16, 64, 128
KEYED_SUM = 1  # packets of clients and servers; the system's own resets carry 0
OPENING_COPIES = (0.2, 0.4, 0.8)  # a SYN, its copies after 200 and 600 ms, and the end of the attempt after 1.4 s
DATA_COPIES = (0.2, 0.4, 0.8, 1.6, 1.6, 1.6)
ROUTER_PERIOD = 0.5
HEARTBEAT_S = 1.2
BOUNDS = {"seed_lag_s": 3, "reuse_after_s": 2, "stability_window_ms": 4000, "ack_timeout_ms": 5000, "catch_up_s": 4,
          "drain_timeout_ms": 3000, "grace_period_s": 6, "loss_slack_ms": 200, "config_apply_ms": 3000, "rollback_slack_ms": 250,
          "max_skew_ms": 12000, "recovery_s": 12, "flow_stray_ms": 2000, "max_flow_s": 60}
ABSENT_FIELDS = ("bounds.evacuate_ms", "bounds.warmup_overshoot", "bounds.warmup_slack")  # of contracts that are not in force here
ZONES = ("fen-a", "fen-b", "fen-c")
ZONE_OF_INSTANCE = (0, 0, 0, 1, 1, 2, 2)
ROUTES = {"subscriptions": ("127.19.0.1", 443), "packhouse": ("127.19.0.2", 443)}  # the other addresses are above 127.20
SERVERS = {"subscriptions": (5, 5, 4), "packhouse": (2, 1, 1)}


def number(ip):
    return int.from_bytes(bytes(map(int, ip.split("."))), "big")


def dotted(value):
    return ".".join(str(byte) for byte in value.to_bytes(4, "big"))


def packet(flags, seq, ack, source, target, echo=0, data=b""):
    (sip, sport), (dip, dport) = source, target
    return HEAD.pack(echo, flags, b"\0\0\0", seq & 0xFFFFFFFF, ack & 0xFFFFFFFF, len(data), dport, number(dip), number(sip), sport,
                     KEYED_SUM) + data


class Parsed:
    def __init__(self, raw):
        self.echo, self.flags, _, self.seq, self.ack, _, dport, dst, src, sport, self.sum = HEAD.unpack(raw[: HEAD.size])
        self.data = raw[HEAD.size:]
        self.source, self.target = (dotted(src), sport), (dotted(dst), dport)


class Datagrams(asyncio.DatagramProtocol):
    def __init__(self, received):
        self.received = received

    def datagram_received(self, raw, sender):
        self.received(raw, sender)


async def udp(address, received):
    transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(lambda: Datagrams(received), local_addr=address)
    return transport


class Server:
    """A server in the form `echo`, which says of itself in the store what the pages say."""

    def __init__(self, world, ident, address, service, zone):
        self.world, self.ident, self.address, self.service, self.zone = world, ident, address, service, zone
        self.name, self.flows, self.state, self.lives, self.sequence = f"i-{ident:010x}", {}, "ready", True, 0
        self.born, self.drained_at = int(time.time() * 1000), None

    async def start(self):
        self.socket = await udp(self.address, self.received)
        self.tcp = await asyncio.start_server(self.health, *self.address)
        await self.write()
        self.task = asyncio.create_task(self.beat())

    async def health(self, reader, writer):
        try:
            while (await reader.readline()).strip():
                pass
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
            await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()

    async def write(self):
        spec = {"service": self.service, "address": f"{self.address[0]}:{self.address[1]}", "zone": self.zone, "version": "v1",
                "concurrency": 2, "state": self.state, "warmup_left_ms": 0, "sequence": self.sequence, "born": self.born}
        return await self.world.put("servers", self.name, json.dumps(spec).encode())

    async def beat(self):
        """Heartbeats do not change the entry, as nothing but `sequence` would change."""
        while self.lives:
            await asyncio.sleep(HEARTBEAT_S)
            if self.lives:
                await self.write()

    async def drain(self, stays_s):
        """Reports `draining`, serves on for `stays_s` after the store has accepted that, and ends."""
        self.state = "draining"
        while await self.write() != 200:
            await asyncio.sleep(0.1)
        self.drained_at = time.monotonic()
        self.world.note(f"ack      the store has accepted that {self.name} of {self.service} is draining")
        await asyncio.sleep(stays_s)
        self.end()
        await self.world.delete("servers", self.name)

    def end(self):
        self.lives = False
        self.socket.close()
        self.tcp.close()
        self.world.note(f"end      {self.name} has ended")

    def received(self, raw, sender):
        world = self.world
        if len(raw) < 8 + HEAD.size or int.from_bytes(raw[:8], "big") not in (0, self.ident):
            return
        got = Parsed(raw[8:])
        key = (got.source, got.target)
        if got.flags & SYN:
            if key not in self.flows:
                world.opening_taken(self, got, sender[0])
                self.flows[key] = {"next": got.seq + 1, "own": random.getrandbits(31), "answer": None, "open": False}
            flow = self.flows[key]
            self.send(key, SYN | ACK, flow["own"], flow["next"], got.echo)
            return
        flow = self.flows.get(key)
        if flow is None:
            if not got.flags & RST:
                self.send(key, RST, got.ack, 0, 0)
            return
        if got.flags & RST:
            del self.flows[key]
            return
        flow["open"] = True
        if got.data and got.seq == flow["next"] & 0xFFFFFFFF:
            flow["next"] += len(got.data)
            flow["answer"] = world.run(self, got)
        if got.data and flow["answer"] is not None:
            self.send(key, ACK, flow["own"] + 1, flow["next"], got.echo, flow["answer"])
        if got.flags & FIN:
            self.send(key, FIN | ACK, flow["own"] + 1 + len(flow["answer"] or b""), got.seq + 1, got.echo)
            del self.flows[key]

    def send(self, key, flags, seq, ack, echo, data=b""):
        source, target = key
        self.socket.sendto(packet(flags, seq, ack, target, source, echo, data), (source[0], self.world.port("datagram")))


class Client:
    """Opens a flow for each request, and tries again on a new flow from a new port: a request that can be repeated up to twice."""

    def __init__(self, world, ip, zone, service):
        self.world, self.ip, self.zone, self.service, self.next_port, self.flow = world, ip, zone, service, 20000, None

    async def start(self):
        self.socket = await udp((self.ip, self.world.port("datagram")), self.received)

    def send(self, flags, seq, ack, data=b""):
        flow = self.flow
        node = self.world.node_for(self.zone, (self.ip, flow["port"]))
        if node:
            raw = packet(flags, seq, ack, (self.ip, flow["port"]), ROUTES[self.service], flow["echo"], data)
            self.socket.sendto(raw, (node["ip"], self.world.port("datagram")))

    def received(self, raw, sender):
        got, flow = Parsed(raw), self.flow
        if flow is None or got.target[1] != flow["port"]:
            return
        if got.flags & RST:
            flow["reset"] = True
        elif got.flags & SYN and not flow["open"]:
            flow.update(open=True, echo=got.echo, peer=got.seq + 1)
        elif got.data and got.seq == flow["peer"] & 0xFFFFFFFF:
            flow.update(peer=got.seq + len(got.data), echo=got.echo, answer=got.data)
        else:
            return
        flow["event"].set()

    async def exchange(self, flags, seq, copies, data=b""):
        flow = self.flow
        flow["event"].clear()
        for copy, pause in enumerate(copies):
            self.send(flags, seq, copy if flags & SYN else flow["peer"], data)
            try:
                await asyncio.wait_for(flow["event"].wait(), pause)
                return not flow["reset"]
            except asyncio.TimeoutError:
                pass
        return False

    async def attempt(self, body):
        self.next_port = 20000 + (self.next_port - 19999) % 40000
        seq = random.getrandbits(31)
        self.flow = {"port": self.next_port, "peer": 0, "echo": 0, "open": False, "reset": False, "answer": None,
                     "event": asyncio.Event()}
        if not await self.exchange(SYN, seq, OPENING_COPIES):
            return None
        if not await self.exchange(ACK, seq + 1, DATA_COPIES, body):
            return None
        self.send(ACK | FIN, seq + 1 + len(body), self.flow["peer"])
        return self.flow["answer"]

    async def request(self):
        world = self.world
        world.sent += 1
        name = f"{world.sent:x}-{self.ip}"
        is_counted = world.is_counting
        world.counted += is_counted
        for attempt in range(3):
            ident = f"{name}-{attempt}"
            body = f"GET /{self.service} HTTP/1.1\r\nHost: x\r\nX-Request-Id: {ident}\r\n\r\n".encode()
            world.note(f"sent     {ident} to {self.service}")
            answer = await self.attempt(body)
            if answer and answer.startswith(b"HTTP/1.1 200"):
                world.answered += 1
                world.counted_answered += is_counted
                world.note(f"answered {ident}: 200")
                return
            world.note(f"answered {ident}: {'reset' if self.flow['reset'] else 'nothing'}")
        world.failed += 1

    async def run(self, pause):
        while not self.world.is_over:
            await self.request()
            await asyncio.sleep(random.uniform(0.5, 1.5) * pause)


class World:
    def __init__(self, folder, seed):
        random.seed(seed)
        self.record = open(Path(folder) / "record.txt", "w")
        self.begun = time.monotonic()
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["entry"]
        self.template = (ROOT / self.deploy["template"]).read_text()
        self.choose_addresses()
        self.nodes = [{"name": f"front-{ZONES[z]}-{n + 1}", "ip": f"127.{self.network}.0.{n + 1}", "zone": ZONES[z], "ready": False,
                       "misses": 0, "process": None, "ends": 0, "disturbed_at": self.begun} for n, z in enumerate(ZONE_OF_INSTANCE)]
        self.servers, self.clients, self.tasks, self.store = [], [], [], None
        self.sent = self.answered = self.failed = self.counted = self.counted_answered = 0
        self.is_counting = False
        self.openings_late, self.is_over = [], False

    def choose_addresses(self):
        """Takes a network of 127.0.0.0/8 and ports on which nothing listens."""
        for _ in range(100):
            self.network, self.base = random.SystemRandom().randrange(20, 250), random.SystemRandom().randrange(10000, 30000, 20)
            try:
                for last in (1, 7):
                    for port in range(self.base, self.base + 20):
                        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                            with socket.socket(socket.AF_INET, kind) as probe:
                                probe.bind((f"127.{self.network}.0.{last}", port))
                return
            except OSError:
                continue
        raise RuntimeError("no free addresses")

    def port(self, name):
        return self.base + ("datagram", "readiness", "control", "store", "server", "peer").index(name)

    def note(self, text):
        if not self.record.closed:
            self.record.write(f"{time.monotonic() - self.begun:9.3f} {text}\n")

    def say(self, text):
        print(f"{time.monotonic() - self.begun:6.1f} s  {text}", flush=True)
        self.note(f"note     {text}")

    async def call(self, method, target, body=b""):
        """@returns the status of a call to the store, or 0 if there was none."""
        try:
            reader, writer = await asyncio.open_connection(f"127.{self.network}.1.1", self.port("store"))
            head = f"{method} {target} HTTP/1.1\r\nHost: store\r\nContent-Length: {len(body)}\r\nConnection: close\r\n\r\n".encode()
            writer.write(head + body)
            await writer.drain()
            status = int((await asyncio.wait_for(reader.readline(), 5)).split(b" ")[1])
            writer.close()
            return status
        except (OSError, IndexError, ValueError, asyncio.TimeoutError):
            return 0

    async def put(self, kind, name, spec):
        return await self.call("PUT", f"/objects/{kind}/{name}", spec)

    async def delete(self, kind, name):
        return await self.call("DELETE", f"/objects/{kind}/{name}")

    def settings_of(self, node):
        ip = node["ip"]
        listen = {"datagram_addr": f"{ip}:{self.port('datagram')}", "readiness_addr": f"{ip}:{self.port('readiness')}",
                  "control_plane": f"{ip}:{self.port('control')}"}
        seeds = [f"{self.nodes[n]['ip']}:{self.port('control')}" for n in (0, 3, 5)]
        return {"node_name": node["name"], "zone": node["zone"], "ip": ip, "internal_port_range": [self.port("peer"), self.port("peer")],
                "seed_nodes": seeds, "bootstrap": node["process"] is None, "listen_addrs": listen, "bounds": BOUNDS,
                "contracts": ["base", "drain", "config", "cost", "recover", "flows", "platform"],
                "platform": {"address": f"127.{self.network}.1.1:{self.port('store')}"}}

    def start_node(self, node):
        path = Path(self.temporary.name) / f"{node['name']}.conf"
        path.write_text(render(self.template, self.settings_of(node), ABSENT_FIELDS))
        program, *arguments = command_of(self.deploy)
        log = open(Path(self.temporary.name) / f"{node['name']}.log", "a")
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": self.temporary.name, "SAPPHIRESPAN_NODE_FILE": str(path)}
        node["process"] = subprocess.Popen([str(ROOT / program), *arguments], cwd=ROOT, env=environment, stdout=log, stderr=log)
        log.close()

    def log_lines(self, node, *words):
        with open(Path(self.temporary.name) / f"{node['name']}.log", errors="replace") as file:
            return [line.strip() for line in file if all(word in line for word in words)]

    async def is_ready(self, node):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(node["ip"], self.port("readiness")), 0.4)
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 0.4)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def route(self, node):
        while not self.is_over:
            is_ready = await self.is_ready(node)
            node["misses"] = 0 if is_ready else node["misses"] + 1
            node["ready"] = is_ready or (node["ready"] and node["misses"] < 2)
            await asyncio.sleep(ROUTER_PERIOD)

    def node_for(self, zone, client):
        """The fabric hashes over the nodes of the client's zone that are in rotation, over all if fewer than half are, and over those
        of other zones if none is."""
        own = [node for node in self.nodes if node["zone"] == zone]
        ready = [node for node in own if node["ready"]]
        if not ready:
            ready = [node for node in self.nodes if node["ready"]]
        elif 2 * len(ready) < len(own):
            ready = own
        return ready[zlib.crc32(repr(client).encode()) % len(ready)] if ready else None

    async def start(self, clients=42, pause=0.25):
        self.store = subprocess.Popen([sys.executable, str(Path(__file__).with_name("store.py")), f"127.{self.network}.1.1",
                                       str(self.port("store"))], stdout=subprocess.PIPE)
        await asyncio.get_running_loop().run_in_executor(None, self.store.stdout.readline)
        routes = [{"name": name, "hostname": ip, "path_prefix": f"/{port}/", "service": name, "type": "safe", "timeout_ms": 4000,
                   "target_latency_ms": 400, "priority": 1} for name, (ip, port) in ROUTES.items()]
        services = [{"name": name, "health_check_path": "/health"} for name in ROUTES]
        configuration = {"version": 17, "routes": routes, "services": services, "limits": {"idle_timeout_ms": 12000}}
        if await self.put("config", "main", json.dumps(configuration).encode()) != 200:
            raise RuntimeError("the store does not answer")
        count = 0
        for service, numbers in SERVERS.items():
            for zone, n in zip(ZONES, numbers):
                for _ in range(n):
                    count += 1
                    address = (f"127.{self.network}.2.{count}", self.port("server"))
                    self.servers.append(Server(self, random.getrandbits(36) | 1, address, service, zone))
                    await self.servers[-1].start()
        for node in self.nodes:
            self.start_node(node)
        self.tasks = [asyncio.create_task(self.route(node)) for node in self.nodes]
        end = time.monotonic() + 15
        while not all(node["ready"] for node in self.nodes):
            if time.monotonic() > end:
                raise RuntimeError("the instances do not become ready")
            await asyncio.sleep(0.05)
        self.say("all instances are ready")
        for index in range(clients):
            zone = index % len(ZONES)
            service = "packhouse" if index % 7 == 6 else "subscriptions"
            client = Client(self, f"127.{self.network}.{10 + zone}.{index + 1}", ZONES[zone], service)
            await client.start()
            self.clients.append(client)
            self.tasks.append(asyncio.create_task(client.run(pause)))

    def begin_count(self):
        self.is_counting, self.counted, self.counted_answered = True, 0, 0

    async def end_count(self):
        """@returns how many of the requests were answered that were sent since the count began, and how many these are"""
        self.is_counting = False
        await asyncio.sleep(3 * sum(OPENING_COPIES))
        return self.counted_answered, self.counted

    def disturb(self, node, signal_number):
        """Sends a signal that disturbs a machine, which is not in touch from then on."""
        node["disturbed_at"] = time.monotonic()
        self.say(f"{node['name']} gets {signal.Signals(signal_number).name}")
        node["process"].send_signal(signal_number)

    @staticmethod
    def is_in_touch(node):
        return time.monotonic() - node["disturbed_at"] > BOUNDS["stability_window_ms"] / 1000

    def opening_taken(self, server, got, node_ip):
        """Judges DRAIN by the opening packet that a server takes: when it arrives, and through which machine."""
        if server.drained_at is None:
            return
        since = time.monotonic() - server.drained_at
        node = next((node for node in self.nodes if node["ip"] == node_ip), None)
        in_touch = node is not None and self.is_in_touch(node)
        self.note(f"opening  of {got.source[0]}:{got.source[1]} taken by {server.name}, {since:.3f} s after it was draining, from "
                  f"{node['name'] if node else node_ip}{'' if in_touch else ', which is not in touch'}")
        if since > BOUNDS["drain_timeout_ms"] / 1000 and in_touch:
            self.openings_late.append(since)

    def run(self, server, got):
        match = re.search(rb"X-Request-Id: (\S+)", got.data)
        ident = match.group(1).decode() if match else "?"
        self.note(f"run      {ident} by {server.name}")
        stamp = f"X-Server-Stamp: {server.name}-{ident}"
        return f"HTTP/1.1 200 OK\r\n{stamp}\r\nContent-Length: 2\r\n\r\nok".encode()

    async def stop(self):
        self.is_over = True
        for task in self.tasks:
            task.cancel()
        for server in self.servers:
            server.lives = False
        for node in self.nodes:
            if node["process"] is not None and node["process"].poll() is None:
                node["process"].send_signal(signal.SIGCONT)
                node["process"].kill()
            if node["process"] is not None:
                node["process"].wait()
        if self.store is not None:
            self.store.kill()
            self.store.wait()
        self.say(f"requests sent {self.sent}, answered {self.answered}, failed {self.failed}")
        self.record.close()


async def write_texts(world, entries, entry_bytes, pause=0.005):
    """Another writer writes large entries: a text in place of an entry cannot be read as one and names no server to use. At most 200
    writes a second; 400 are allowed."""
    spec = b'"' + b"x" * (entry_bytes - 2) + b'"'
    calls = []
    for n in range(entries):
        calls.append(asyncio.create_task(world.put("servers", f"export-{n}", spec)))
        await asyncio.sleep(pause)
    statuses = await asyncio.gather(*calls)
    world.say(f"another writer wrote {entries} entries of {entry_bytes} bytes: answers {sorted(set(statuses))}")


async def rehearse(world, has_trouble):
    """Stands for the story of a case in a short run: starts all that a story uses, and says no verdict.

    @throws RuntimeError if no request is answered or an instance that starts again does not become ready"""
    await world.start()
    await write_texts(world, 2, 1000)
    world.begin_count()
    await asyncio.sleep(1)
    served, asked = await world.end_count()
    if served == 0:
        raise RuntimeError(f"none of {asked} requests was answered")
    node = world.nodes[-1]
    node["process"].kill()
    node["process"].wait()
    node["ready"] = False
    world.start_node(node)
    end = time.monotonic() + 15
    while not node["ready"]:
        if time.monotonic() > end:
            raise RuntimeError(f"{node['name']} does not become ready after it was started again")
        await asyncio.sleep(0.05)
    world.say(f"short run: {served} of {asked} requests were answered; the story was not played")
    return False


def play(folder, seed, story):
    """Runs a story of a world. @param story takes the world and whether there is trouble, and returns whether the rule was broken
    @returns the exit code: 1 if it was broken, 0 if it held, 2 if the case could not run. A short run plays rehearse() instead."""

    async def whole():
        world = World(folder, seed)
        try:
            return 1 if await asyncio.wait_for((rehearse if IS_SHORT else story)(world, os.environ.get("TROUBLE", "1") != "0"), 110) else 0
        finally:
            await world.stop()

    try:
        return asyncio.run(whole())
    except Exception as error:  # noqa: BLE001 - whatever it is, the case could not run
        print(f"could not run: {error!r}", flush=True)
        return 2
