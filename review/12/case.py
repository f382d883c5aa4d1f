"""The store turns away, by silence, each machine that calls it, up to a third of them, while a server reports that it drains."""

import asyncio
import itertools
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))

from world import ACK, OPENING_TIMES, RST, SYN, Parsed, World, has_trouble, now, packet, run_case, udp  # noqa: E402

ROUTE, SERVICE = ("198.18.0.1", 443), "orders"
ZONES = ("za", "zb", "zc")
PER_ZONE = 16
DRAIN_S = 5.0  # drain_timeout_ms
SERVES_ON_S = DRAIN_S + 7  # "and a little longer (at times many seconds)"
TROUBLE_S = 9.0  # for_s of the sheet's platform_down by machines
SETTLE_S = 6.0
OPENINGS_PER_S = 200


class Case(World):
    def __init__(self):
        super().__init__(FOLDER, zones=ZONES, per_zone=PER_ZONE)
        milliseconds = int(DRAIN_S * 1000)
        self.bounds |= {"drain_timeout_ms": milliseconds, "config_apply_ms": milliseconds, "stability_window_ms": 5000}
        self.by_ip = {machine["ip"]: machine for machine in self.machines}
        self.turned_away, self.most_turned_away, self.begun_at, self.drained_at, self.late = [], len(self.machines) // 3, None, None, []
        self.placed_on_drained, self.last_by_machine = 0, {}

    def turns_away(self, ip):
        if self.begun_at is None or now() > self.begun_at + TROUBLE_S:
            return False
        if ip not in self.turned_away and len(self.turned_away) < self.most_turned_away:
            self.turned_away.append(ip)
            self.record(f"the store turns away {next(machine['name'] for machine in self.machines if machine['store_ip'] == ip)}")
        return ip in self.turned_away

    def note_taken(self, server, got, via):
        if server is not self.drained or self.drained_at is None:
            return
        after = now() - self.drained_at
        self.placed_on_drained += 1
        machine = self.by_ip[via]
        if machine["store_ip"] in self.turned_away:
            return
        self.last_by_machine[machine["name"]] = after
        if after > DRAIN_S:
            self.late.append(after)
            self.record(f"LATE: {server.name}, which drains, takes an opening of {got.source[0]}:{got.source[1]} {after:.3f} s after the store "
                        f"acknowledged that, from {machine['name']}, which the store serves")


async def case():
    world = Case()
    try:
        await world.start_store()
        world.store.turns_away = world.turns_away
        for zone in ZONES:
            for _ in range(2):
                await world.add_server(SERVICE, zone)
        world.drained = world.servers[0]
        await world.configure(1, {ROUTE: SERVICE}, {SERVICE: 2000})
        await world.start_machines()
        sockets = {}

        def received(raw, _sender):
            got = Parsed(raw)
            if got.flags & SYN and got.target in sockets["open"]:
                ends, seq = sockets["open"].pop(got.target)
                machine = world.machine_for(ends[2], ends[:2])
                sockets[ends[2]].sendto(packet(RST | ACK, seq + 1, got.seq + 1, ends[0], ends[1], got.echo), (machine["ip"], world.ingress))

        sockets["open"] = {}
        for index, zone in enumerate(ZONES):
            sockets[zone] = await udp((f"127.{world.network}.50.{index + 1}", world.ingress), received)
        begun, numbers, calls = now(), itertools.count(), 0
        drain = None
        while drain is None or now() < world.drained_at + SERVES_ON_S - 0.5:
            number = next(numbers)
            zone = ZONES[number % len(ZONES)]
            ends = ((f"127.{world.network}.50.{ZONES.index(zone) + 1}", 1024 + number % 60000), ROUTE, zone)
            seq = random.getrandbits(31)
            sockets["open"][ends[0]] = (ends, seq)
            machine = world.machine_for(zone, ends[:2])
            sockets[zone].sendto(packet(SYN, seq, 0, ends[0], ROUTE), (machine["ip"], world.ingress))
            if drain is None and now() > begun + SETTLE_S:
                if has_trouble():
                    world.begun_at = now()
                    for ip, count in list(world.store.pending.items()):
                        if count:
                            world.turns_away(ip)
                world.drained.state = "draining"
                await world.drained.register()
                world.drained_at, drain = now(), True
                world.record(f"the store acknowledged that {world.drained.name} drains")
            await asyncio.sleep(1 / OPENINGS_PER_S)
        latest = max(world.last_by_machine.items(), key=lambda item: item[1], default=("none", 0))
        summary = (f"{len(world.machines)} machines, {len(world.turned_away)} turned away; openings taken by the draining server after its report: "
                   f"{world.placed_on_drained}; from machines that the store serves, later than {DRAIN_S:g} s: {len(world.late)}; the latest of all "
                   f"from such a machine: {latest[1]:.3f} s ({latest[0]})")
        world.record(summary)
        print(summary)
        return not world.late
    finally:
        world.stop()


if __name__ == "__main__":
    sys.exit(run_case(case))
