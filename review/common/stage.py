"""A small platform on loopback for the scripts of this review: store, servers, clients and the start of instances.

Everything follows the users' PROTOCOL.md. Instances are started with the command and the settings template of
deploy/system.toml. One asyncio loop plays everything but the instances.
"""

import asyncio
import collections
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "review"))
from options import command_of, shortened  # noqa: E402
from template import render  # noqa: E402

HEAD = struct.Struct("<IB3sIIHHIIHI")  # echo, flags, pad, seq, ack, len, dport, dst, src, sport, sum
SYN, ACK, FIN, RST = 16, 64, 1, 128
SENDER_SUM = 1  # stands for the keyed sum of a client or server; the system's own resets carry 0
CONTRACTS = ["base", "drain", "config", "cost", "recover", "flows", "platform"]
ABSENT_FIELDS = ("bounds.evacuate_ms", "bounds.warmup_overshoot", "bounds.warmup_slack")  # of contracts that are not in force here


def number(ip):
    return int.from_bytes(socket.inet_aton(ip), "big")


def packet(flags, seq, ack, source, target, echo=0, data=b"", checksum=SENDER_SUM):
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
        self.received(raw)


async def udp(address, received):
    transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(lambda: Datagrams(received), local_addr=address)
    return transport


class Record:
    """Writes record.txt: one line for each thing that was sent, answered or run, with seconds since the start."""

    def __init__(self, folder):
        self.file, self.start = open(os.path.join(folder, "record.txt"), "w"), time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")

    def verdict(self, text):
        self(text)
        print(text, flush=True)


class Store:
    """The platform's store. Each instance reaches it at an address of its own, so that it can turn single ones away."""

    def __init__(self, record):
        self.record, self.kinds, self.history, self.revision = record, {"servers": {}, "config": {}}, [], 1
        self.turned_away, self.listeners = set(), []
        self.changed = asyncio.get_event_loop().create_future()  # set by the next change

    async def listen(self, name, address):
        async def serve(reader, writer):
            await self.serve(name, reader, writer)

        self.listeners.append(await asyncio.start_server(serve, *address))

    async def write(self, kind, name, spec):
        """The return is the acknowledgement. @returns its time"""
        self.revision += 1
        item = {"meta": {"name": name, "revision": self.revision, "created": 1, "finalizers": [], "deleting": False}, "spec": spec, "status": None}
        removed = spec is None
        if removed:
            item = self.kinds[kind].pop(name)
        else:
            self.kinds[kind][name] = item
        self.history.append((self.revision, kind, {"removed": removed, "object": item}))
        changed, self.changed = self.changed, asyncio.get_running_loop().create_future()
        changed.set_result(None)
        self.record(f"store acknowledges {kind}/{name} at revision {self.revision}")
        return self.record.now()

    async def serve(self, name, reader, writer):
        try:
            line = (await reader.readline()).decode()
            while (await reader.readline()).strip():
                pass
            answer = await self.answer(line.split(" ")[1], name)
            if answer is None or name in self.turned_away:
                await reader.read()  # silence until the caller gives up
                return
            status, body = answer
            text = json.dumps(body).encode()
            writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(text)}\r\nConnection: close\r\n\r\n".encode() + text)
            await writer.drain()
        except (OSError, IndexError, asyncio.IncompleteReadError):
            pass  # the caller has gone
        finally:
            writer.close()

    async def answer(self, target, name):
        if name in self.turned_away:
            return None
        url = urllib.parse.urlparse(target)
        kind, query = url.path.split("/")[2], urllib.parse.parse_qs(url.query)
        if "watch" not in query:
            return 200, {"items": list(self.kinds[kind].values()), "has_more": False, "as_of": self.revision}
        since, end = int(query["watch"][0]), time.monotonic() + int(query["wait_ms"][0]) / 1000
        while True:
            events = [event for revision, k, event in self.history if revision > since and k == kind]
            if events or time.monotonic() >= end:
                return 200, {"events": events, "as_of": self.revision}
            await asyncio.wait([self.changed], timeout=max(0.001, end - time.monotonic()))


class Server:
    """A server of a service: holds flows and answers each request with its own id and service."""

    def __init__(self, stage, ident, address, service, zone):
        self.stage, self.ident, self.address, self.service, self.zone = stage, ident, address, service, zone
        self.name, self.flows, self.alive, self.state, self.drained_at = f"i-{ident:x}", {}, False, "ready", None
        self.born = int(time.time() * 1000)
        self.busy, self.waiting_requests = 0, collections.deque()

    async def start(self):
        self.socket = await udp(self.address, self.received)
        self.listener = await asyncio.start_server(self.health, *self.address)
        self.alive = True
        await self.announce("ready")

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

    async def announce(self, state):
        self.state = state
        acknowledged = await self.stage.store.write("servers", self.name, {
            "service": self.service, "address": f"{self.address[0]}:{self.address[1]}", "zone": self.zone, "version": "v1",
            "concurrency": 2, "state": state, "warmup_left_ms": 0, "sequence": 1, "born": self.born})
        if state == "draining":
            self.drained_at = acknowledged

    def received(self, raw):
        if int.from_bytes(raw[:8], "big") not in (self.ident, 0) or not self.alive:
            return
        got = Parsed(raw[8:])
        key, flow = (got.source, got.target), self.flows.get((got.source, got.target))
        if got.flags & RST:
            self.flows.pop(key, None)
        elif got.flags & SYN:
            if flow is None:
                flow = self.flows[key] = {"next": got.seq + 1, "own": random.getrandbits(31) + (1 << 30), "answer": None, "open": False}
                flow["sent"] = flow["own"] + 1
                self.stage.opening_taken(self, key)
            self.send(key, SYN | ACK, flow["own"], flow["next"], got.echo)
        elif flow is None:
            self.send(key, RST, got.ack, 0, 0)
        else:
            self.take(key, flow, got)

    def take(self, key, flow, got):
        if not flow["open"]:
            flow["open"] = True
            self.stage.flow_open(self, key)
        if got.flags & FIN:
            self.send(key, FIN | ACK, flow["sent"], flow["next"] + 1, got.echo)
            self.flows.pop(key)
        elif got.data and got.seq == flow["next"] & 0xFFFFFFFF:
            flow["next"] += len(got.data)
            self.waiting_requests.append((key, flow, got))
            self.begin_work()
        elif got.data:
            self.send(key, ACK, flow["sent"], flow["next"], got.echo, flow["answer"] or b"")
        elif flow["answer"] and got.ack == (flow["sent"] + len(flow["answer"])) & 0xFFFFFFFF:
            flow["sent"] += len(flow["answer"])
            flow["answer"] = None

    def begin_work(self):
        """Takes the next requests while slots are free."""
        while self.waiting_requests and self.busy < self.stage.slots:
            key, flow, got = self.waiting_requests.popleft()
            self.busy += 1
            self.stage.request_run(self, got.data.decode())
            asyncio.get_running_loop().call_later(self.stage.work(), self.answer, key, flow, got)

    def answer(self, key, flow, got):
        self.busy -= 1
        self.begin_work()
        if self.alive and self.flows.get(key) is flow:
            flow["answer"] = f"{self.name} {self.service} ".encode() + got.data
            self.send(key, ACK, flow["sent"], flow["next"], got.echo, flow["answer"])

    def send(self, key, flags, seq, ack, echo, data=b""):
        source, target = key
        self.socket.sendto(packet(flags, seq, ack, target, source, echo, data), (source[0], self.stage.ports["datagram"]))

    def fill_queue(self):
        """Other callers' connections fill the queue of new ones: the next opening packets of TCP are dropped."""
        self.listener.close()
        queue = socket.socket()
        queue.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        queue.bind(self.address)
        queue.listen(0)
        self.waiting = [queue]
        for _ in range(3):
            caller = socket.socket()
            caller.setblocking(False)
            caller.connect_ex(self.address)
            self.waiting.append(caller)

    async def empty_queue(self):
        for waiting in self.waiting:
            waiting.close()
        self.waiting = []
        self.listener = await asyncio.start_server(self.health, *self.address)

    def crash(self):
        """Falls silent, as a machine without power; its flows are lost. On loopback a closed port would refuse connections, so the
        port stays open with a full queue."""
        self.alive = False
        self.flows.clear()
        self.fill_queue()

    def end(self):
        """Frees the address of a server that has crashed."""
        self.socket.close()
        for waiting in self.waiting:
            waiting.close()


class Client:
    """One client. Each flow has a port of its own; the packets of a flow go through the instance that `via` names."""

    def __init__(self, stage, ip):
        self.stage, self.ip, self.port, self.flows = stage, ip, 20000, {}

    async def start(self):
        self.socket = await udp((self.ip, self.stage.ports["datagram"]), self.received)

    def send(self, flow, flags, seq, ack, data=b""):
        self.socket.sendto(packet(flags, seq, ack, (self.ip, flow["port"]), flow["route"], flow["echo"], data),
                           (flow["via"]["ip"], self.stage.ports["datagram"]))

    def received(self, raw):
        got = Parsed(raw)
        flow = self.flows.get(got.target[1])
        if flow is None:
            return
        if got.flags & RST:
            is_accepted = not flow["open"] or abs(((got.seq - flow["peer"] + (1 << 31)) & 0xFFFFFFFF) - (1 << 31)) <= 76800
            if is_accepted and not flow["reset"]:
                flow["reset"] = "system" if got.checksum == 0 else "server"
                self.stage.reset_received(self, flow)
                flow["event"].set()
        elif got.flags & SYN:
            if not flow["open"]:
                flow.update(open=True, echo=got.echo, peer=got.seq + 1)
                flow["event"].set()
        elif got.data and got.seq == flow["peer"] & 0xFFFFFFFF:
            flow["peer"] += len(got.data)
            flow.update(echo=got.echo, answer=got.data)
            self.send(flow, ACK, flow["seq"], flow["peer"])
            flow["event"].set()

    async def step(self, flow, flags, seq, data, pauses):
        flow["event"].clear()
        for copy, pause in enumerate(pauses):
            self.send(flow, flags, seq, copy if flags & SYN else flow["peer"], data)
            try:
                await asyncio.wait_for(flow["event"].wait(), pause)
                return not flow["reset"]
            except asyncio.TimeoutError:
                pass
        return False

    async def open(self, route, via):
        """@returns the flow, open if `open` is set"""
        self.port += 1
        seq = random.getrandbits(31)
        flow = {"port": self.port, "route": route, "via": via, "echo": 0, "seq": seq + 1, "peer": 0, "open": False, "reset": None,
                "answer": None, "event": asyncio.Event(), "client": self.ip, "opened_at": self.stage.record.now(), "used_at": self.stage.record.now()}
        self.flows[self.port] = flow
        await self.step(flow, SYN, seq, b"", (0.2, 0.4, 0.8))
        if flow["open"]:
            self.send(flow, ACK, flow["seq"], flow["peer"])
        return flow

    async def ask(self, flow, ident):
        """@returns the answer, or None"""
        flow["answer"], seq, data = None, flow["seq"], ident.encode()
        flow["seq"] += len(data)
        done = await self.step(flow, ACK, seq, data, (0.2, 0.4, 0.8, 1.6))
        return flow["answer"].decode() if done and flow["answer"] else None

    def close(self, flow):
        if flow["open"] and not flow["reset"]:
            self.send(flow, FIN | ACK, flow["seq"], flow["peer"])
        self.flows.pop(flow["port"], None)


class Stage:
    """One deployment. `zones` maps each zone to its number of instances."""

    slots = 1000  # requests that a server works on at once

    def __init__(self, folder, zones, bounds):
        self.folder, self.bounds, self.record = folder, bounds, Record(folder)
        self.store, self.servers, self.instances = Store(self.record), [], []
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            (self.role,) = tomllib.load(file)["roles"].values()
        with open(os.path.join(ROOT, self.role["template"])) as file:
            self.template = file.read()
        self.network, first = self.free_network()
        self.ports = {name: first + index for index, name in enumerate(("datagram", "readiness", "control", "inner", "store", "server"))}
        for zone_index, (zone, count) in enumerate(zones.items()):
            for index in range(count):
                self.instances.append({"name": f"frontend-{zone}-{index + 1}", "zone": zone, "ip": f"127.{self.network}.{zone_index + 1}.{index + 1}",
                                       "store": f"127.{self.network}.{100 + zone_index}.{index + 1}", "process": None, "log": None})
        self.zone_names = list(zones)
        self.next_ident = 0x100000 + random.getrandbits(20) * 0x1000

    @staticmethod
    def free_network():
        """@returns the second number of addresses, and the first of eight ports, that are free."""
        while True:
            network, first = random.randint(30, 220), random.randint(12000, 28000)
            try:
                for port in range(first, first + 8):
                    for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
                        with socket.socket(socket.AF_INET, kind) as probe:
                            probe.bind((f"127.{network}.1.1", port))
                return network, first
            except OSError:
                continue

    def work(self):
        """@returns for how many seconds a server works on a request"""
        return 0

    def opening_taken(self, server, key):
        pass

    def flow_open(self, server, key):
        pass

    def request_run(self, server, ident):
        self.record(f"server {server.name} of {server.service} runs {ident}")

    def holder(self, client, flow):
        """@returns the living server that holds a flow as open, or None"""
        key = ((client.ip, flow["port"]), flow["route"])
        return next((server for server in self.servers if server.alive and key in server.flows and server.flows[key]["open"]), None)

    def reset_received(self, client, flow):
        self.record(f"client {client.ip}:{flow['port']} gets a reset of the {flow['reset']}, open {flow['open']}")

    def settings(self, instance, first_start):
        """Fills in the template of the deploy file as the platform does."""
        seeds = []
        for zone in self.zone_names:
            seeds.append(next(f"{other['ip']}:{self.ports['control']}" for other in self.instances if other["zone"] == zone))
        fields = {"node_name": instance["name"], "zone": instance["zone"], "ip": instance["ip"],
                  "internal_port_range": [self.ports["inner"], self.ports["inner"]],
                  "listen_addrs": {"datagram_addr": f"{instance['ip']}:{self.ports['datagram']}",
                                   "readiness_addr": f"{instance['ip']}:{self.ports['readiness']}",
                                   "control_plane": f"{instance['ip']}:{self.ports['control']}"},
                  "platform": {"address": f"{instance['store']}:{self.ports['store']}"}, "seed_nodes": seeds[:3], "bootstrap": first_start,
                  "contracts": CONTRACTS, "bounds": {"max_flow_s": 60, "grace_period_s": 6}}
        return render(self.template, fields, ABSENT_FIELDS)

    def start_instance(self, instance, first_start=True):
        path = os.path.join(self.temporary.name, instance["name"] + ".yaml")
        with open(path, "w") as file:
            file.write(self.settings(instance, first_start))
        instance["log"] = os.path.join(self.temporary.name, instance["name"] + ".log")
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["SAPPHIRESPAN_NODE_FILE"] = path
        with open(instance["log"], "a") as log:
            instance["process"] = subprocess.Popen(command_of(self.role), cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.record(f"start {instance['name']} as process {instance['process'].pid}")

    async def is_ready(self, instance):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(instance["ip"], self.ports["readiness"]), 0.5)
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 0.5)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def add_server(self, service, zone, address=None):
        ident = self.next_ident
        self.next_ident += 1
        index = len(self.servers)
        address = address or (f"127.{self.network}.{200 + index // 200}.{1 + index % 200}", self.ports["server"])
        server = Server(self, ident, address, service, zone)
        self.servers.append(server)
        await server.start()
        return server

    async def configure(self, version, routes, idle_timeout_ms=15000):
        """@param routes services by (address, port) @returns the time of the acknowledgement"""
        spec = {"version": version, "services": [{"name": name} for name in sorted(set(routes.values()))],
                "limits": {"idle_timeout_ms": idle_timeout_ms},
                "routes": [{"name": f"r-{ip}-{port}", "hostname": ip, "path_prefix": f"/{port}/", "type": "safe", "timeout_ms": 800,
                            "target_latency_ms": 120, "priority": 2, "service": service, "max_attempts": 2}
                           for (ip, port), service in routes.items()]}
        return await self.store.write("config", "main", spec)

    async def start(self):
        for instance in self.instances:
            await self.store.listen(instance["name"], (instance["store"], self.ports["store"]))
            self.start_instance(instance)
        for _ in range(300):
            ready = [await self.is_ready(instance) for instance in self.instances]
            if all(ready):
                self.record("all instances are ready")
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("not all instances became ready")

    def stop(self):
        for instance in self.instances:
            process = instance["process"]
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            if process is not None:
                process.wait()
        self.record.file.flush()

    def keep_logs(self):
        """Adds what the instances said, but for their decisions on single flows, to the record."""
        for instance in self.instances:
            if instance["log"] is None:
                continue  # it was not started
            with open(instance["log"]) as log:
                for line in log:
                    if '"flow"' not in line and "snapshot_not_received" not in line:
                        self.record.file.write(f"log {instance['name']} {line.strip()[:220]}\n")


def main(play):
    """Runs `play(is_troubled)` and ends this process: with its result, or with 2 if the case could not run. The end does not wait for
    connections that are still open."""

    async def bounded():
        try:
            return await asyncio.wait_for(play(os.environ.get("TROUBLE", "1") != "0"), 105)
        except Exception as error:  # noqa: BLE001 - whatever stops the script means that the case could not run
            print(f"could not run: {error!r}", file=sys.stderr)
            return 2

    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    result = loop.run_until_complete(bounded())
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(result)
