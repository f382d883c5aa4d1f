"""The settings change: one of the bounds becomes a fraction. Then all processes are killed and started again."""

import asyncio
import itertools
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))

from clients import Clients  # noqa: E402
from world import World, has_trouble, now, run_case  # noqa: E402

ROUTE, SERVICE = ("198.18.0.1", 443), "orders"
ZONES = ("za", "zb", "zc")
REQUESTS_PER_S = 60
BEFORE_S = 4.0
KILL_AFTER_S = 3.0  # after the change of the settings
RESTART_S = 0.75  # down_s; "restarted after a short delay"
RECOVERY_S = 12.0  # recovery_s
MEASURED_S = 8.0
LEAST_SHARE = 0.25


class Case(World):
    def __init__(self):
        super().__init__(FOLDER, zones=ZONES, per_zone=2)
        self.ends_by_themselves = {machine["name"]: 0 for machine in self.machines}

    async def keep_running(self, machine):
        """What the platform does: a process that exits or is killed is started again, with the settings in effect then."""
        while not self.is_over:
            process = machine["process"]
            if process.poll() is not None:
                if process.returncode != -signal.SIGKILL:
                    self.ends_by_themselves[machine["name"]] += 1
                self.record(f"{machine['name']} has ended: {process.returncode}")
                await asyncio.sleep(RESTART_S)
                self.start_machine(machine)
            await asyncio.sleep(0.02)


async def ask(client, number, outcomes, sent_at):
    is_served = await client.open() and await client.request(b"order %d" % number) is not None
    client.close()
    outcomes.append((sent_at, is_served))


def share(outcomes, begin, end):
    measured = [is_served for sent_at, is_served in outcomes if begin <= sent_at < end]
    return sum(measured) / len(measured) if measured else 0.0


async def case():
    world = Case()
    try:
        await world.start_store()
        for zone in ZONES:
            await world.add_server(SERVICE, zone)
        await world.configure(1, {ROUTE: SERVICE}, {SERVICE: 2000})
        await world.start_machines()
        clients = Clients(world)
        for index in range(len(ZONES)):
            await clients.add_host(f"127.{world.network}.50.{index + 1}")
        world.tasks += [asyncio.create_task(world.keep_running(machine)) for machine in world.machines]
        begun, numbers, outcomes, changed_at, killed_at = now(), itertools.count(), [], None, None
        while killed_at is None or now() < killed_at + RESTART_S + RECOVERY_S + MEASURED_S:
            number = next(numbers)
            zone = ZONES[number % len(ZONES)]
            client = clients.flow(zone, (f"127.{world.network}.50.{ZONES.index(zone) + 1}", 10000 + number), ROUTE)
            world.tasks.append(asyncio.create_task(ask(client, number, outcomes, now())))
            if changed_at is None and now() > begun + BEFORE_S:
                changed_at = now()
                if has_trouble():
                    world.bounds["grace_period_s"] = 6.5
                    for machine in world.machines:
                        world.write_settings(machine)
                        machine["process"].send_signal(signal.SIGHUP)
                    world.record("the settings have changed: grace_period_s is 6.5; SIGHUP to all processes")
            if killed_at is None and changed_at is not None and now() > changed_at + KILL_AFTER_S:
                killed_at = now()
                world.record(f"all processes are killed; served since the change of the settings: {share(outcomes, changed_at, killed_at):.3f}")
                for machine in world.machines:
                    machine["process"].kill()
            await asyncio.sleep(1 / REQUESTS_PER_S)
        await asyncio.sleep(1.5)
        recovered_from = killed_at + RESTART_S + RECOVERY_S
        before, after = share(outcomes, begun, killed_at), share(outcomes, recovered_from, recovered_from + MEASURED_S)
        summary = (f"served before the kill: {before:.3f}; of the requests sent later than {RECOVERY_S:g} s after the start: {after:.3f}; ends by "
                   f"themselves: {world.ends_by_themselves}")
        world.record(summary)
        print(summary)
        if before < LEAST_SHARE:
            raise RuntimeError("the story was not played")
        return after >= LEAST_SHARE
    finally:
        world.stop()


if __name__ == "__main__":
    sys.exit(run_case(case))
