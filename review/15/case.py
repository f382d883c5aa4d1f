"""A route moves from a service whose servers are full to another one. Copies of openings that the full servers left unanswered."""

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))

from clients import Clients  # noqa: E402
from world import World, has_trouble, now, run_case  # noqa: E402

ROUTE = ("198.18.0.1", 443)
OLD, NEW = "orders-old", "orders-new"
MOST_FLOWS = 40  # max_connections of each server
SLACK_S = 0.250  # rollback_slack_ms
HOLDERS = MOST_FLOWS + 4  # clients with a flow that stays open; a few wait until one of the others leaves
OPENERS_PER_S = 100
BEFORE_S, UNTIL_ROOM_S, AFTER_S = 3.0, 0.3, 2.0


class Case(World):
    def __init__(self):
        super().__init__(FOLDER, zones=("za",), per_zone=2)
        self.taken, self.run, self.effect = {}, [], {}

    def note_taken(self, server, got, via):
        key = (got.source, got.target)
        self.taken[server, key] = (got.ack, via)
        if server.service == NEW and via not in self.effect:
            self.effect[via] = now()
            self.record(f"{server.name} of {NEW} saw the effect of version 2 through {via}")

    def note_run(self, server, key, data):
        copy, via = self.taken[server, key]
        self.run.append((server, key, copy, via))

    async def start_all(self):
        await self.start_store()
        for service in (OLD, NEW, NEW):
            await self.add_server(service, "za", MOST_FLOWS)
        await self.configure(1, {ROUTE: OLD}, {OLD: MOST_FLOWS, NEW: MOST_FLOWS})
        await self.start_machines()


async def hold(world, client, leaves_at):
    """Opens a flow and sends a request on it now and then, until the client leaves."""
    while not await client.open():
        client = client.clients.flow(client.zone, (client.ends[0][0], client.ends[0][1] + 1000), ROUTE)
    while not world.is_over and now() < leaves_at():
        await client.request(b"held")
        await asyncio.sleep(random.uniform(0.1, 0.5))
    client.close()


async def ask_once(world, client, number):
    """One request on a flow of its own."""
    if await client.open():
        answer = await client.request(b"order %d" % number)
        world.record(f"order {number} from {client.ends[0][0]}:{client.ends[0][1]}: answered {answer!r}")
        client.close()
    else:
        world.record(f"order {number} from {client.ends[0][0]}:{client.ends[0][1]}: {'reset' if client.is_reset else 'not opened'}")


async def case():
    world = Case()
    try:
        await world.start_all()
        clients = world.clients = Clients(world)
        for index in (1, 2):
            await clients.add_host(f"127.{world.network}.50.{index}")

        def client_at(index, port):
            return clients.flow("za", (f"127.{world.network}.50.{index}", port), ROUTE)

        room_at = now() + 3600
        leave_times = [None] * HOLDERS
        for number in range(HOLDERS):
            world.tasks.append(asyncio.create_task(hold(world, client_at(1, 20000 + number), lambda number=number: leave_times[number] or room_at)))
            await asyncio.sleep(0.01)
        old_servers, end = [server for server in world.servers if server.service == OLD], now() + 15
        while any(len(server.flows) < MOST_FLOWS for server in old_servers):
            if now() > end:
                raise RuntimeError("the old servers did not fill up")
            await asyncio.sleep(0.05)
        begun, moved_at, number = now(), None, 0
        while now() < begun + BEFORE_S + AFTER_S:
            if moved_at is None and now() >= begun + BEFORE_S:
                moved_at = now()
                if has_trouble():
                    await world.configure(2, {ROUTE: NEW}, {OLD: MOST_FLOWS, NEW: MOST_FLOWS})
                for holder in range(HOLDERS):
                    leave_times[holder] = moved_at + UNTIL_ROOM_S + holder * 0.004
            world.tasks.append(asyncio.create_task(ask_once(world, client_at(2, 30000 + number), number)))
            number += 1
            await asyncio.sleep(1 / OPENERS_PER_S)
        await asyncio.sleep(1.6)
        return judge(world)
    finally:
        world.stop()


def judge(world):
    broken = 0
    for server, key, copy, via in world.run:
        sent_at, effect = world.clients.sent[key, copy], world.effect.get(via)
        if server.service == OLD and effect is not None and sent_at > effect + SLACK_S:
            broken += 1
            world.record(f"BROKEN: {server.name} of {OLD} ran a request of {key[0][0]}:{key[0][1]}; copy {copy} of its opening, which it took, was sent "
                         f"{(sent_at - effect) * 1000:.0f} ms after a server of {NEW} saw the effect of version 2 through the same machine {via}")
    ran = {service: sum(1 for server, *_ in world.run if server.service == service) for service in (OLD, NEW)}
    summary = f"requests run by {OLD}: {ran[OLD]}, by {NEW}: {ran[NEW]}; regressions beyond {SLACK_S * 1000:.0f} ms: {broken}"
    world.record(summary)
    print(summary)
    if not ran[OLD] or (has_trouble() and not ran[NEW]):
        raise RuntimeError("the story was not played")
    return broken == 0


if __name__ == "__main__":
    sys.exit(run_case(case))
