"""What happens beside upstreams that live and serve, in cookie_flows_test.py: bursts of unanswered connection attempts, pauses of
instances, changes of a large configuration, new routes, entries that lapse.

None of it disturbs an upstream or its links, so no flow that an upstream holds may be reset or diverted.
"""

import asyncio
import signal
import socket

from cookie_stage import Client, listen, now_text

STALL = (0.3, 0.9)  # seconds for which an upstream reads nothing
STALL_SPREAD = 0.3  # within which the stalls of one group begin
STALL_PERIOD = (0.15, 0.4)
STALLED_SHARE = 5  # one in so many upstreams is of a group
FULL_SHARE = 3  # one in so many upstreams has a full queue of new connections all the time, so that instances ask its host

BURST = (0.06, 0.8)  # seconds for which attempts get no answer
BURST_AFTER_ANSWER = (0.0, 0.06)  # from an answered attempt to a host to the burst
BURST_PAUSE = (0.2, 0.8)  # from a burst to the next attempt that begins one

PAUSE = (0.03, 0.4)  # of an instance
PAUSING_LOOPS = 3

LARGE_ROUTES = 6000  # about 1 MB
LARGE_PERIOD, KILL_PERIOD, KILLED_SHARE = 3.0, 9.5, 0.5
DOWN = (0.5, 2.0)  # seconds from the kill to the first start

ROUTE_PERIOD = (0.3, 1.0)
ROUTE_DISTURBANCE = 3.0  # seconds for which an instance counts as disturbed after a start, a pause or a delay of its store
STORE_DELAY = (0.1, 2.0)

OUTAGE = (4.0, 8.0)
SLOW_STORE = (0.2, 1.7)  # seconds by which a slow store answers late
ENTRIES_BACK = 2.0  # seconds after the store's return by which living upstreams are listed again
LATE_READING = (0.7, 2.0)


async def stall(stage, upstream, seconds):
    if upstream.unread is None:
        await upstream.hold_up(seconds)


class Fault:
    def __init__(self, stage, random):
        self.stage, self.random = stage, random

    async def run(self):
        raise NotImplementedError


class Stalls(Fault):
    """Groups of upstreams read nothing for a moment, each from a moment of its own on. Some have a full queue of new connections."""

    async def run(self):
        upstreams = self.stage.upstreams
        for upstream in self.random.sample(upstreams, max(1, len(upstreams) // FULL_SHARE)):
            upstream.set_port("full")
        async with asyncio.TaskGroup() as group:
            while True:
                for upstream in self.random.sample(upstreams, max(2, len(upstreams) // STALLED_SHARE)):
                    group.create_task(self.stall_later(upstream, self.random.uniform(0, STALL_SPREAD), self.random.uniform(*STALL)))
                await asyncio.sleep(self.random.uniform(*STALL_PERIOD))

    async def stall_later(self, upstream, delay, seconds):
        await asyncio.sleep(delay)
        await stall(self.stage, upstream, seconds)


class HostPort:
    """The port at which instances probe one host. It answers attempts, except while its queue is full."""

    def __init__(self, address, answered):
        self.address, self.answered, self.caller = address, answered, None
        self.listener = listen(address)[0]
        asyncio.get_running_loop().add_reader(self.listener, self.accept)

    def accept(self):
        try:
            self.listener.accept()[0].close()
        except OSError:
            return  # the attempt is over
        self.answered()

    def fill(self):
        asyncio.get_running_loop().remove_reader(self.listener)
        self.listener.listen(0)
        self.caller = socket.socket()
        self.caller.setblocking(False)
        self.caller.connect_ex(self.address)

    def empty(self):
        self.caller.close()
        self.listener.listen(100)
        asyncio.get_running_loop().add_reader(self.listener, self.accept)


class OwnLink(Fault):
    """Attempts to upstreams and their hosts stay unanswered in bursts that begin just after hosts have answered, as behind a link whose
    queue grows. Other than there, attempts to other instances are answered, since these accept connections themselves.
    @param port the host port concerned: that of all instances, or of one"""

    def __init__(self, stage, random, port):
        super().__init__(stage, random)
        self.port, self.is_armed, self.bursts = port, False, 0

    def host_answered(self):
        if self.is_armed:
            self.is_armed = False
            self.begun.set()

    async def run(self):
        self.begun = asyncio.Event()
        hosts = [HostPort((upstream.address[0], self.port), self.host_answered) for upstream in self.stage.upstreams]
        while True:
            self.begun.clear()
            self.is_armed = True
            await self.begun.wait()
            await asyncio.sleep(self.random.uniform(*BURST_AFTER_ANSWER))
            listening = [upstream for upstream in self.stage.upstreams if upstream.port == "open"]
            for host in hosts:
                host.fill()
            for upstream in listening:
                upstream.set_port("full")
            self.stage.bursts += 1
            seconds = self.random.uniform(*BURST)
            print(f"{now_text()} attempts to port {self.port} and to upstreams stay unanswered for {seconds:.3f} s", flush=True)
            await asyncio.sleep(seconds)
            for host in hosts:
                host.empty()
            for upstream in listening:
                upstream.set_port("open")
            await asyncio.sleep(self.random.uniform(*BURST_PAUSE))


class Pauses(Fault):
    """Instances stand still, in series, overlapping, and several at the same moment."""

    async def run(self):
        await asyncio.gather(*(self.pause_some() for _ in range(PAUSING_LOOPS)))

    async def pause_some(self):
        instances = self.stage.instances
        while True:
            chosen = self.random.sample(instances, self.random.choice((1, 1, 2, max(2, len(instances) // 8))))
            for instance in chosen:
                self.stage.note_disturbed(instance)
                instance["process"].send_signal(signal.SIGSTOP)
            await asyncio.sleep(self.random.uniform(*PAUSE))
            for instance in chosen:
                instance["process"].send_signal(signal.SIGCONT)
            await asyncio.sleep(self.random.uniform(0, 0.3))


class Kills(Fault):
    """Many instances are killed together and started again."""

    share, period = KILLED_SHARE, KILL_PERIOD

    async def run(self):
        while True:
            await asyncio.sleep(self.period)
            chosen = self.random.sample(self.stage.instances, max(1, int(len(self.stage.instances) * self.share)))
            for instance in chosen:
                instance["process"].kill()
            for instance in chosen:
                instance["process"].wait()
            await asyncio.sleep(self.random.uniform(*DOWN))
            for instance in chosen:
                self.stage.start_instance(instance)
                self.stage.note_disturbed(instance)
                await asyncio.sleep(self.stage.start_pause)


class SingleKills(Kills):
    """One or a few instances at a time are killed and started again."""

    share, period = 0.1, 1.5


class LargeConfiguration(Fault):
    """A configuration of about 1 MB changes every few seconds."""

    async def run(self):
        version = 100
        while True:
            version += self.random.randrange(1, 5)
            routes = self.stage.service_routes() + [
                {"name": f"large-{n}", "hostname": "198.18.1.1", "path_prefix": f"/{1000 + n}/", "service": "packhouse", "type": "safe",
                 "timeout_ms": 2000 + version % 100, "target_latency_ms": 300, "priority": n % 4, "max_attempts": 2}
                for n in range(LARGE_ROUTES)]
            await self.stage.apply_configuration(version, routes)
            await asyncio.sleep(LARGE_PERIOD)


class NewRoutes(Fault):
    """Routes are added one after the other and used at once, while answers of the store come late at some instances."""

    async def run(self):
        await asyncio.gather(self.add_routes(), self.delay_answers())

    async def add_routes(self):
        routes, version = self.stage.service_routes(), 100
        while True:
            version += self.random.randrange(1, 5)
            port = 1000 + len(routes)
            routes = routes + [{"name": f"new-{port}", "hostname": "198.18.1.1", "path_prefix": f"/{port}/", "service": "packhouse"}]
            await self.stage.apply_configuration(version, routes)
            self.stage.newest_target = ("198.18.1.1", port)
            print(f"{now_text()} the store has version {version} with route 198.18.1.1:{port}", flush=True)
            await asyncio.sleep(self.random.uniform(*ROUTE_PERIOD))

    async def delay_answers(self):
        delays = self.stage.store.delays
        while True:
            delays.clear()
            for instance in self.random.sample(self.stage.instances, max(1, len(self.stage.instances) // 3)):
                delays[self.stage.platform_ip(instance)] = self.random.uniform(*STORE_DELAY)
                self.stage.note_disturbed(instance)
            await asyncio.sleep(2)


class LapsedEntries(Fault):
    """Entries of upstreams that serve on lapse while the store is away or slow, and are back with the same start after its return. Some of
    these upstreams read late meanwhile."""

    modes = ("silent", "busy", "slow")

    async def run(self):
        store = self.stage.store
        async with asyncio.TaskGroup() as group:
            while True:
                mode, seconds = self.random.choice(self.modes), self.random.uniform(*OUTAGE)
                victims = self.random.sample(self.stage.upstreams, len(self.stage.upstreams) // 2)
                print(f"{now_text()} the store is {mode} for {seconds:.1f} s, {len(victims)} entries lapse", flush=True)
                if mode == "slow":
                    delay = self.random.uniform(*SLOW_STORE)
                    store.delays = dict.fromkeys(self.stage.store_ips(), delay)
                else:
                    store.mode = mode
                lapse_after = self.random.choice((0, self.random.uniform(0, seconds)))
                for reader in victims:
                    group.create_task(self.read_late(reader, seconds))
                await asyncio.sleep(lapse_after)
                for upstream in victims:
                    await store.write("servers", f"i-{upstream.ident:x}", None)
                await asyncio.sleep(seconds - lapse_after)
                store.mode, store.delays = "normal", {}
                back_at = sorted(self.random.uniform(0, ENTRIES_BACK) for _ in victims)
                waited = 0
                for upstream, at in zip(victims, back_at):
                    await asyncio.sleep(at - waited)
                    waited = at
                    await upstream.announce_again()
                await asyncio.sleep(3)

    async def read_late(self, upstream, outage):
        """Reads nothing twice, once late in the outage or just after it."""
        await asyncio.sleep(self.random.uniform(0, outage / 2))
        await stall(self.stage, upstream, self.random.uniform(*LATE_READING))
        await asyncio.sleep(self.random.uniform(outage / 4, outage / 2))
        await stall(self.stage, upstream, self.random.uniform(*LATE_READING))


class LapsedEntriesSlowStore(LapsedEntries):
    modes = ("slow",)


class RouteClient(Client):
    """Opens flows on the newest route. Their data goes through instances that were disturbed a moment ago, if there are any."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.longest_pause = self.random.choice((0.1, 0.3))
        if self.service != "packhouse":
            self.longest_pause = 0.6

    def target(self):
        return self.stage.newest_target if self.service == "packhouse" and self.stage.newest_target else super().target()

    def instance_for(self, flags):
        disturbed = [] if flags & 16 else self.stage.disturbed_instances(self.zone, ROUTE_DISTURBANCE)
        return self.random.choice(disturbed) if disturbed else super().instance_for(flags)

    async def request(self):
        if self.service == "packhouse" and self.random.random() < 0.5:
            self.flow = None  # the next one is opened on the newest route
        await super().request()


class OpeningClient(Client):
    """Opens a flow for each few requests, and places the last echo in its packets that it received, whoever sent it, as PROTOCOL.md can be
    read to say."""

    takes_each_echo = True

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.longest_pause = 0.3

    async def request(self):
        if self.random.random() < 0.3:
            self.flow = None
        await super().request()


class IdleClient(Client):
    """Leaves its flow idle for up to 10 s."""

    async def run(self):
        self.longest_pause = 10
        await asyncio.sleep(self.random.uniform(0, 1))
        await super().run()
