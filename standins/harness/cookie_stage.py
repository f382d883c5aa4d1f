"""Cookie steering on loopback: real instances against a store, upstreams and clients that this file plays.

Instances have addresses of their own within 127.0.0.0/8 and share ports, as on the platform. Every process is started
here and ended by its id. One asyncio loop plays everything else.
"""

import asyncio
import datetime
import json
import os
import random
import signal
import socket
import struct
import subprocess
import tempfile
import urllib.parse
import zlib

HEAD = struct.Struct("<IB3sIIHHIIHI")  # echo, flags, pad, seq, ack, len, dport, dst, src, sport, sum
SYN, ACK, FIN, RST = 16, 64, 1, 128
UPSTREAM_SUM = 1  # marks packets of upstreams; the system's own resets carry 0
SERVICES = {"subscriptions": ("198.18.0.1", 443), "packhouse": ("198.18.0.2", 443)}
COPIES = (0.2, 0.4, 0.8, 1.6, 1.6, 1.6)  # pauses between copies of a packet, in seconds
DEADLINE = 8.0
RETRIES = 6


def now_text():
    """@returns the time of day, to be compared with that of log lines"""
    return datetime.datetime.now(datetime.timezone.utc).strftime("%H:%M:%S.%f")[:-3]


def number(ip):
    return int.from_bytes(bytes(map(int, ip.split("."))), "big")


def dotted(value):
    return ".".join(str(byte) for byte in value.to_bytes(4, "big"))


def packet(flags, seq, ack, source, target, echo=0, data=b"", checksum=0):
    (sip, sport), (dip, dport) = source, target
    return HEAD.pack(echo, flags, b"\0\0\0", seq & 0xFFFFFFFF, ack & 0xFFFFFFFF, len(data), dport, number(dip), number(sip), sport, checksum) + data


class Parsed:
    def __init__(self, raw):
        self.echo, self.flags, _, self.seq, self.ack, _, dport, dst, src, sport, self.checksum = HEAD.unpack(raw[: HEAD.size])
        self.data = raw[HEAD.size :]
        self.source, self.target = (dotted(src), sport), (dotted(dst), dport)


class Socket(asyncio.DatagramProtocol):
    def __init__(self, received):
        self.received = received

    def datagram_received(self, raw, sender):
        self.received(raw)


def listen(address, is_full=False):
    """@param is_full whether connection attempts there stay unanswered. @returns the listening socket, and those that fill its queue"""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setblocking(False)
    listener.bind(address)
    listener.listen(0 if is_full else 100)
    callers = [socket.socket() for _ in range(3 if is_full else 0)]
    for caller in callers:
        caller.setblocking(False)
        caller.connect_ex(address)
    return [listener, *callers]


async def udp(address, received):
    transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(lambda: Socket(received), local_addr=address)
    return transport


class Store:
    """Lists and watches by revision. `mode` is normal, busy, silent or lost (history gone, once for each watch). The store can
    come back from a copy of itself, in the next era: its revisions go back, and what was written since is gone. It answers at one
    address for each zone; calls at those in `turned_away` get no answer, and answers at those in `delays` come later by as many seconds."""

    least_large_text = 50000  # size from which the text of an object is kept, since many instances read it at once

    def __init__(self):
        self.kinds, self.history, self.revision, self.mode, self.calls = {"servers": {}, "config": {}}, [], 1, "normal", 0
        self.lost_before, self.era = 0, 1
        self.servers, self.turned_away, self.delays, self.large_texts = [], set(), {}, {}
        self.copies = []  # (time, revision, objects by kind) after each write
        self.changed = asyncio.Condition()

    async def start(self, address):
        self.servers.append(await asyncio.start_server(self.serve, *address))

    def keep_copy(self):
        self.copies.append((asyncio.get_running_loop().time(), self.revision, {kind: dict(items) for kind, items in self.kinds.items()}))

    async def restore(self, age):
        """Goes back to the copy of that many seconds ago, or to the oldest one."""
        moment = asyncio.get_running_loop().time() - age
        while len(self.copies) > 1 and self.copies[-1][0] > moment:
            self.copies.pop()
        _, self.revision, kinds = self.copies[-1]
        self.kinds = {kind: dict(items) for kind, items in kinds.items()}
        self.history = [event for event in self.history if event[0] <= self.revision]
        self.lost_before = min(self.lost_before, self.revision)
        self.era += 1
        async with self.changed:
            self.changed.notify_all()

    async def write(self, kind, name, spec):
        known = self.kinds[kind].get(name)
        if spec == (known and known["spec"]):
            return  # what changes nothing is no change
        self.revision += 1
        item = {"meta": {"name": name, "revision": self.revision, "created": 1, "finalizers": [], "deleting": False}, "spec": spec, "status": None}
        removed = spec is None
        if removed:
            item = self.kinds[kind].pop(name)
        else:
            self.kinds[kind][name] = item
        self.history.append((self.revision, kind, {"removed": removed, "object": item}))
        self.keep_copy()
        async with self.changed:
            self.changed.notify_all()

    def forget_history(self):
        self.lost_before = self.revision

    async def serve(self, reader, writer):
        try:
            line = (await reader.readline()).decode()
            while (await reader.readline()).strip():
                pass
            self.calls += 1
            ip = writer.get_extra_info("sockname")[0]
            status, body = await self.answer(line.split(" ")[1])
            if ip in self.turned_away:
                await asyncio.sleep(60)
            await asyncio.sleep(self.delays.get(ip, 0))
            text = self.text_of_answer(body).encode()
            writer.write(f"HTTP/1.1 {status} X\r\nStore-Era: {self.era}\r\nContent-Length: {len(text)}\r\nConnection: close\r\n\r\n".encode() + text)
            await writer.drain()
        except (OSError, IndexError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the caller has gone, or the run is over
        finally:
            writer.close()

    def text_of_object(self, item):
        key = (self.era, item["meta"]["name"], item["meta"]["revision"])
        text = self.large_texts.get(key) or json.dumps(item)
        if len(text) >= self.least_large_text:
            self.large_texts[key] = text
        return text

    def text_of_answer(self, body):
        rest = {key: value for key, value in body.items() if key not in ("items", "events")}
        texts = [json.dumps(rest)[1:-1]] if rest else []
        if "items" in body:
            texts.append('"items": [' + ", ".join(self.text_of_object(item) for item in body["items"]) + "]")
        if "events" in body:
            events = [f'{{"removed": {json.dumps(event["removed"])}, "object": {self.text_of_object(event["object"])}}}'
                      for event in body["events"]]
            texts.append('"events": [' + ", ".join(events) + "]")
        return "{" + ", ".join(texts) + "}"

    async def answer(self, target):
        if self.mode == "silent":
            await asyncio.sleep(60)
        if self.mode == "busy":
            return 503, {}
        url = urllib.parse.urlparse(target)
        kind, query = url.path.split("/")[2], urllib.parse.parse_qs(url.query)
        if "watch" not in query:
            return 200, {"items": list(self.kinds[kind].values()), "has_more": False, "as_of": self.revision}
        since = int(query["watch"][0])
        if since < self.lost_before or since > self.revision:
            return 410, {}
        events = [event for revision, k, event in self.history if revision > since and k == kind]
        if not events:
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), int(query["wait_ms"][0]) / 1000)
                except asyncio.TimeoutError:
                    pass
            if since > self.revision:
                return 410, {}
            events = [event for revision, k, event in self.history if revision > since and k == kind]
        return 200, {"events": events, "as_of": self.revision}


class Upstream:
    def __init__(self, stage, ident, address, service, zone):
        self.stage, self.ident, self.address, self.service, self.zone = stage, ident, address, service, zone
        self.flows, self.alive, self.state, self.taken_late = {}, False, "ready", 0
        self.port, self.port_sockets = "closed", []
        self.unread = None  # the packets that wait while it reads nothing
        self.response_delay = 0  # in seconds
        self.born = 1760000000000 + ident

    async def start(self):
        self.socket = await udp(self.address, self.received)
        self.set_port(self.stage.first_port_mode)
        self.alive = True
        await self.announce()

    async def announce(self, state="ready", is_again=False):
        self.state = state
        if state == "draining" and not is_again:
            self.drained_at = asyncio.get_running_loop().time()
        spec = {"service": self.service, "address": f"{self.address[0]}:{self.address[1]}", "zone": self.zone, "version": "v1",
                "concurrency": 2, "state": state, "warmup_left_ms": 0, "sequence": 1, "born": self.born}
        await self.stage.store.write("servers", f"i-{self.ident:x}", spec)

    async def announce_again(self):
        """Writes what it wrote last, as servers do from time to time; one that has ended is removed instead."""
        if self.alive:
            await self.announce(self.state, is_again=True)
        else:
            await self.stage.store.write("servers", f"i-{self.ident:x}", None)

    def crash(self, is_silent=False):
        """@param is_silent connection attempts to its host get no answer afterwards; else they are refused"""
        self.alive = False
        self.socket.close()
        self.set_port("full" if is_silent else "closed")
        if is_silent:
            self.port_sockets += listen((self.address[0], self.stage.host_probe_port), is_full=True)
        self.flows.clear()

    def set_port(self, mode):
        """@param mode of its TCP port: open, full (connection attempts get no answer), or else closed (they are refused)"""
        self.port, loop = mode, asyncio.get_running_loop()
        for old in self.port_sockets:
            loop.remove_reader(old)
            old.close()
        self.port_sockets = listen(self.address, is_full=mode == "full") if mode in ("open", "full") else []
        if mode == "open":
            loop.add_reader(self.port_sockets[0], self.accept)

    def accept(self):
        try:
            self.port_sockets[0].accept()[0].close()
        except OSError as error:
            print(f"upstream {self.ident:x} accepts no connection: {error}")

    def resume_reading(self):
        unread, self.unread = self.unread, None
        for raw in unread:
            self.read(raw)

    def received(self, raw):
        """Takes a packet that has arrived."""
        got = Parsed(raw[8:])
        if not got.flags & (SYN | RST) and self.alive:
            self.stage.strays.note(self, (got.source, got.target))
        if self.unread is not None:
            self.unread.append(raw)
        else:
            self.read(raw)

    def read(self, raw):
        if int.from_bytes(raw[:8], "big") != self.ident or not self.alive:
            return
        got = Parsed(raw[8:])
        key = (got.source, got.target)
        if self.stage.routed.get(got.target) != self.service:
            self.stage.misdelivered += 1
        if got.flags & SYN:
            if self.state == "draining" and asyncio.get_running_loop().time() - self.drained_at > 3 and key not in self.flows:
                self.stage.late_openings += 1
            flow = self.flows.setdefault(key, {"next": got.seq + 1, "own": random.getrandbits(31), "echo": got.echo, "answer": None,
                                               "is_open": False})
            self.send(key, SYN | ACK, flow["own"], flow["next"], got.echo)
            flow["sent"] = flow["own"] + 1
            return
        flow = self.flows.get(key)
        if flow and got.ack == flow["own"] + 1:
            flow["is_open"] = True
        if flow is None:
            if not got.flags & RST:
                self.send(key, RST, got.ack, 0, 0)
            return
        if got.data and got.seq == flow["next"]:
            flow["next"] += len(got.data)
            self.begin_work(key, flow, got)
        elif got.data and flow["answer"]:
            self.send(key, ACK, flow["sent"], flow["next"], got.echo, flow["answer"])
        elif not got.data and flow["answer"] and got.ack == (flow["sent"] + len(flow["answer"])) & 0xFFFFFFFF:
            flow["sent"] += len(flow["answer"])
            flow["answer"] = None

    def has_open(self, key):
        """@returns whether it lives and the client has confirmed the flow to it, not only to another one that got a copy of the opening"""
        return self.alive and key in self.flows and self.flows[key]["is_open"]

    def begin_work(self, key, flow, got):
        if self.response_delay:
            asyncio.get_running_loop().call_later(self.response_delay, self.respond, key, flow, got)
        else:
            self.respond(key, flow, got)

    def respond(self, key, flow, got):
        if self.flows.get(key) is flow:
            flow["answer"] = b"done " + got.data
            self.send(key, ACK, flow["sent"], flow["next"], got.echo, flow["answer"])

    def send(self, key, flags, seq, ack, echo, data=b""):
        source, target = key
        self.socket.sendto(packet(flags, seq, ack, target, source, echo, data, UPSTREAM_SUM), (source[0], self.stage.ingress))


class Client:
    """Sends one request after the other on flows that it keeps open, and checks that each answer is its own."""

    takes_each_echo = False  # whether that of an upstream replaces the flow's which got a copy of the opening and answers late

    def __init__(self, stage, ip, zone, service):
        self.stage, self.ip, self.zone, self.service = stage, ip, zone, service
        self.port, self.flow, self.count = 30000, None, 0
        self.random = random.Random(ip)
        self.longest_pause = self.random.choice((0.1, 0.1, 3))  # some flows are idle most of the time

    async def start(self):
        self.socket = await udp((self.ip, self.stage.ingress), self.received)

    def target(self):
        """@returns the address and port that the next flow is opened to"""
        return self.stage.address_of(self.service)

    def instance_for(self, flags):
        """@returns the instance that gets the next packet of the flow"""
        return self.stage.instance_for(self.zone, (self.ip, self.flow["port"]))

    def send(self, flags, seq, ack, data=b""):
        flow = self.flow
        instance = self.instance_for(flags)
        if instance:
            self.socket.sendto(packet(flags, seq, ack, (self.ip, flow["port"]), flow["target"], flow["echo"], data),
                               (instance["ip"], self.stage.ingress))

    def received(self, raw):
        got, flow = Parsed(raw), self.flow
        if flow is None or got.target[1] != flow["port"] or flow["reset"]:
            return
        if got.flags & RST:
            holder = self.stage.holder((self.ip, flow["port"]), flow["echo"])
            if flow["open"] and holder:
                self.stage.note_broken(self, flow["port"], holder, is_from_upstream=got.checksum != 0)
            flow["reset"] = True
            flow["event"].set()
        elif got.flags & SYN and flow["open"] and self.takes_each_echo:
            flow["echo"] = got.echo
        elif flow["event"].is_set():
            return
        elif got.flags & SYN and not flow["open"]:
            flow.update(open=True, echo=got.echo, peer=got.seq + 1)
            flow["event"].set()
        elif got.data and got.seq == flow["peer"] & 0xFFFFFFFF:
            flow["peer"] += len(got.data)
            flow["echo"] = got.echo or flow["echo"]
            flow["answer"] = got.data
            self.send(ACK, flow["seq"], flow["peer"])
            flow["event"].set()

    async def exchange(self, flags, seq, data=b""):
        """Sends a packet with its copies until something comes back. @returns whether it did"""
        self.flow["event"].clear()
        for copy, pause in enumerate(COPIES):
            self.send(flags, seq, copy if flags & SYN else self.flow["peer"], data)
            try:
                await asyncio.wait_for(self.flow["event"].wait(), pause)
                return not self.flow["reset"]
            except asyncio.TimeoutError:
                pass
        return False

    async def attempt(self, body):
        if self.flow is None or self.flow["reset"]:
            self.port += 1
            seq = self.random.getrandbits(31)
            self.flow = {"port": self.port, "seq": seq + 1, "peer": 0, "echo": 0, "open": False, "reset": False, "answer": None,
                         "event": asyncio.Event(), "target": self.target()}
            if not await self.exchange(SYN, seq):
                return False
        self.flow["answer"] = None
        seq = self.flow["seq"]
        self.flow["seq"] += len(body)
        if not await self.exchange(ACK, seq, body):
            return False
        if self.flow["answer"] != b"done " + body:
            self.stage.wrong += 1
        return True

    async def request(self):
        self.count += 1
        body = f"{self.ip} {self.service} {self.count}".encode()
        self.stage.asked += 1
        for _ in range(RETRIES):
            if await self.attempt(body):
                self.stage.served += 1
                return
            self.flow = None

    async def run(self):
        while not self.stage.is_over:
            try:
                await asyncio.wait_for(self.request(), DEADLINE)
            except asyncio.TimeoutError:
                self.flow = None
            await asyncio.sleep(self.random.uniform(0.02, self.longest_pause))


class Strays:
    """Packets of open flows that reach another upstream than the one that holds the flow. A flow is diverted if `least` of them do within
    `window` seconds, and none reaches its own upstream. Packets that open flows do not count."""

    least, window = 3, 2.0

    def __init__(self, stage):
        self.stage, self.packets, self.diverted = stage, 0, set()
        self.times = {}  # of the packets that went elsewhere since the last one that did not, by flow

    def note(self, upstream, key):
        holder = upstream if upstream.has_open(key) else next((other for other in self.stage.upstreams if other.has_open(key)), None)
        if holder is None or holder is upstream:
            self.times.pop(key, None)
            return
        self.packets += 1
        times = self.times.setdefault(key, [])
        times.append(asyncio.get_running_loop().time())
        flow = f"{key[0][0]}:{key[0][1]}"
        print(f"{now_text()} stray packet: {flow}, held by upstream {holder.ident:x}, reached {upstream.ident:x}", flush=True)
        asyncio.get_running_loop().call_later(self.window, self.judge, key, times, times[-1], holder)

    def judge(self, key, times, since, holder):
        is_unanswered = self.times.get(key) is times and holder.has_open(key)
        if is_unanswered and sum(since <= time <= since + self.window for time in times) >= self.least and key not in self.diverted:
            self.diverted.add(key)
            self.stage.note_diverted(key, holder)


class CookieStage:
    """One running system with cookie steering."""

    upstream_type, client_type = Upstream, Client
    first_port_mode = "open"  # of the TCP ports of upstreams, as in Upstream.set_port()
    readiness_period = 0.25
    start_pause = 0.0  # between the starts of two instances

    def __init__(self, build, zones=("dc-1", "dc-2"), instances_per_zone=2, clients_per_zone=8, network=77, earlier_build=None,
                 instance_count=None):
        """@param earlier_build each second instance of a zone starts from this build at first, and all by turns when they are started again
        @param instance_count number of instances of all zones, if not the same in each"""
        self.builds = [earlier_build or build, build]
        self.folder = tempfile.TemporaryDirectory(prefix="sapphirespan-")
        self.ingress, self.peer, self.control, self.readiness, self.store_port, self.host_probe_port = (network * 100 + n for n in range(1, 7))
        self.network, self.zones, self.clients_per_zone = network, zones, clients_per_zone
        self.instances = [{"name": f"entry-{zones[n % len(zones)]}-{n // len(zones) + 1}", "ip": f"127.{network}.0.{n + 1}",
                           "zone": zones[n % len(zones)], "process": None, "ready": False, "starts": n // len(zones)}
                          for n in range(instance_count or len(zones) * instances_per_zone)]
        self.upstreams, self.next_ident = [], 0x1001
        self.asked = self.served = self.wrong = self.broken = self.misdelivered = self.late_openings = 0
        self.broken_flows, self.broken_by_upstreams = [], 0
        self.strays = Strays(self)
        self.routed = {}  # service by address and port, of all configurations so far
        self.is_probing_hosts = {}  # by program
        self.is_over = False

    def address_of(self, service):
        return SERVICES[service]

    def holder(self, client, echo):
        """@returns the living upstream that the client's flow is open with, or None. Another one may hold a copy of the opening that was
        placed there and never confirmed."""
        return next((upstream for upstream in self.upstreams if upstream.alive
                     and any(key[0] == client and flow["echo"] == echo for key, flow in upstream.flows.items())), None)

    def note_broken(self, client, port, holder, is_from_upstream=False):
        """@param is_from_upstream whether another upstream reset the flow, to which a packet was sent, and not an instance"""
        self.broken += 1
        self.broken_by_upstreams += is_from_upstream
        self.broken_flows.append((f"{client.ip}:{port}", f"{holder.ident:x}"))
        print(f"{now_text()} broken flow: {client.ip}:{port}, held by upstream {holder.ident:x} of {holder.service} in {holder.zone}"
              + (", reset by another upstream" if is_from_upstream else ""), flush=True)

    def note_diverted(self, key, holder):
        (ip, port), _ = key
        self.broken_flows.append((f"{ip}:{port}", f"{holder.ident:x}"))
        place = f"upstream {holder.ident:x} of {holder.service} in {holder.zone}"
        print(f"{now_text()} diverted flow: {ip}:{port}, held by {place}", flush=True)

    def print_logs_of_broken_flows(self, most=None):
        """Prints what the instances logged about broken flows and their upstreams.
        @param most number of broken flows from the first on; all of them if left out"""
        broken = self.broken_flows[:most]
        flows = {f'"{flow} ' for flow, _ in broken}
        upstreams = {f'"{ident}@' for _, ident in broken}
        for instance in self.instances if broken else []:
            with open(os.path.join(self.folder.name, instance["name"] + ".log")) as file:
                for line in file:
                    is_about_upstream = '"flow":' not in line and any(upstream in line for upstream in upstreams)
                    if is_about_upstream or '_dark"' in line and most is None or any(flow in line for flow in flows):
                        print(f"log {instance['name']} (start {instance['starts']}): {line.strip()}")

    def instance_for(self, zone, client):
        mine = [i for i in self.instances if i["zone"] == zone]
        ready = [i for i in mine if i["ready"]] or mine
        return ready[zlib.crc32(repr(client).encode()) % len(ready)] if ready else None

    def platform_ip(self, instance):
        return self.store_ip(instance["zone"])

    def store_ips(self):
        return [self.store_ip(zone) for zone in self.zones]

    def host_port(self, instance):
        """@returns the TCP port at which an instance probes hosts"""
        return self.host_probe_port

    def store_ip(self, zone):
        return f"127.{self.network}.1.{1 + self.zones.index(zone)}"

    def write_settings(self, path, text, program, host_port):
        """Earlier builds refuse a file with `host_probe_port`."""
        full_text = f"{text}host_probe_port: {host_port}\n"
        if program not in self.is_probing_hosts:
            with open(path, "w") as file:
                file.write(full_text)
            check = subprocess.run([program, f"--settings={path}", "--check_settings"], capture_output=True)
            self.is_probing_hosts[program] = check.returncode == 0
        with open(path, "w") as file:
            file.write(full_text if self.is_probing_hosts[program] else text)

    def start_instance(self, instance):
        path = os.path.join(self.folder.name, instance["name"] + ".yaml")
        seeds = ", ".join(f'"{i["ip"]}:{self.control}"' for i in self.instances[:3])
        instance["starts"] += 1
        program = os.path.join(self.builds[instance["starts"] % len(self.builds)], "apps/sapphirespand/sapphirespand")
        text = (f"steering: cookie\ninstance: {instance['name']}\ndata_centre: {instance['zone']}\n"
                f"listen: {{ingress: \"{instance['ip']}:{self.ingress}\", readiness: \"{instance['ip']}:{self.readiness}\","
                f" control: \"{instance['ip']}:{self.control}\", peer: \"{instance['ip']}:{self.peer}\"}}\n"
                f"platform: \"{self.platform_ip(instance)}:{self.store_port}\"\nseeds: [{seeds}]\nleave_limit: 6s\n")
        self.write_settings(path, text, program, self.host_port(instance))
        log = open(os.path.join(self.folder.name, instance["name"] + ".log"), "a")
        instance["process"] = subprocess.Popen([program, f"--settings={path}"], stdout=log, stderr=log)

    async def is_ready(self, instance):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(instance["ip"], self.readiness), 0.3)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 0.3)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def watch_readiness(self):
        async def check(instance):
            misses = 0
            while not self.is_over:
                is_ready = await self.is_ready(instance)
                misses = 0 if is_ready else misses + 1
                instance["ready"] = is_ready or (instance["ready"] and misses < 2)
                await asyncio.sleep(self.readiness_period)

        await asyncio.gather(*(check(instance) for instance in self.instances))

    async def add_upstream(self, service, zone):
        ident = self.next_ident
        self.next_ident += 1
        upstream = self.upstream_type(self, ident, (f"127.{self.network}.2.{ident & 0xFF}", 8080), service, zone)
        self.upstreams.append(upstream)
        await upstream.start()
        return upstream

    def service_routes(self):
        return [{"name": name, "hostname": ip, "path_prefix": f"/{port}/", "service": name} for name, (ip, port) in SERVICES.items()]

    async def configure(self, version, extra=0):
        routes = self.service_routes()
        routes += [{"name": f"r-{n}", "hostname": "198.18.1.1", "path_prefix": f"/{1000 + n}/", "service": "packhouse"} for n in range(extra)]
        await self.apply_configuration(version, routes)

    async def apply_configuration(self, version, routes):
        self.routed |= {(route["hostname"], int(route["path_prefix"].strip("/"))): route["service"] for route in routes}
        self.configuration = {"version": version, "routes": routes, "services": [], "limits": {"idle_timeout_ms": 15000}}
        await self.store.write("config", "main", self.configuration)

    async def restore_store(self, age, pause):
        """The store comes back from a copy; the upstreams and the operator write again after a pause."""
        await self.store.restore(age)
        await asyncio.sleep(pause)
        for upstream in list(self.upstreams):
            await upstream.announce_again()
        await self.store.write("config", "main", self.configuration)

    def stale_instances(self):
        """@returns the names of the instances whose configuration in force is not the operator's latest, by their logs."""
        stale = []
        for instance in self.instances:
            with open(os.path.join(self.folder.name, instance["name"] + ".log")) as file:
                versions = [line for line in file if '"routes_in_force"' in line]
            if not versions or f'"detail":"{self.configuration["version"]}"' not in versions[-1].replace(" ", ""):
                stale.append(instance["name"])
        return stale

    async def add_upstreams(self):
        for service in SERVICES:
            for zone in self.zones:
                for _ in range(2):
                    await self.add_upstream(service, zone)

    async def start(self):
        self.store = Store()
        for ip in self.store_ips():
            await self.store.start((ip, self.store_port))
        await self.add_upstreams()
        await self.configure(3)
        self.store.copies = self.store.copies[-1:]
        for instance in self.instances:
            self.start_instance(instance)
            await asyncio.sleep(self.start_pause)
        self.tasks = [asyncio.create_task(self.watch_readiness())]
        while not all(instance["ready"] for instance in self.instances):
            await asyncio.sleep(0.05)
        names = list(SERVICES)
        for zone_index, zone in enumerate(self.zones):
            for index in range(self.clients_per_zone):
                client = self.client_type(self, f"127.{self.network}.{10 + zone_index}.{index + 1}", zone, names[index % len(names)])
                await client.start()
                self.tasks.append(asyncio.create_task(client.run()))

    async def stop(self):
        self.is_over = True
        await asyncio.wait(self.tasks, timeout=DEADLINE + 1)
        for instance in self.instances:
            if instance["process"].poll() is None:
                instance["process"].send_signal(signal.SIGCONT)
                instance["process"].kill()
            instance["process"].wait()

    def summary(self):
        return (f"asked {self.asked}, served {self.served}, wrong answers {self.wrong}, broken flows {self.broken} "
                f"({self.broken_by_upstreams} by other upstreams), diverted flows {len(self.strays.diverted)}, "
                f"stray packets {self.strays.packets}, misdelivered {self.misdelivered}, late on draining upstreams {self.late_openings}, "
                f"calls to the store {self.store.calls}")

    def is_clean(self, least_served):
        faults = self.wrong + self.broken + len(self.strays.diverted) + self.misdelivered + self.late_openings
        return faults == 0 and self.asked > 0 and self.served >= least_served * self.asked
