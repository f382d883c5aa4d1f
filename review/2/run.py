"""The store turns away the machines of one zone, with silence, and serves all others. See claim.txt."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
from stage import Client, Stage, main, shortened  # noqa: E402

ZONES = {"mid-a": 9, "mid-b": 9, "mid-c": 9}
TURNED_AWAY = "mid-a"
BOUNDS = {"config_apply_ms": 5000, "drain_timeout_ms": 5000, "stability_window_ms": 5000}
ROUNDS = shortened(3, 1)
OUTAGE_S = 9.0
CALM_S = 12.0
PROBE_PAUSE_S = 0.02
ROUTE = ("198.18.0.1", 443)
SERVICES = ("foldroom", "proofshelf")


class Watched(Stage):
    def __init__(self, folder, zones, bounds):
        super().__init__(folder, zones, bounds)
        self.sent, self.broken, self.late = {}, [], []
        self.old_service = self.moved_at = self.leaving = None

    def opening_taken(self, server, key):
        if server is self.leaving and self.record.now() > server.drained_at + self.bounds["drain_timeout_ms"] / 1000:
            self.late.append(self.record.now() - server.drained_at)
            self.record(f"server {server.name} takes an opening {self.late[-1]:.2f} s after it was acknowledged as draining")

    def request_run(self, server, ident):
        super().request_run(server, ident)
        sent_at, instance = self.sent[ident]
        if server.service == self.old_service and sent_at > self.moved_at + self.bounds["config_apply_ms"] / 1000:
            self.broken.append((sent_at - self.moved_at, ident, instance))

    async def ask_once(self, client, instance, ident):
        self.sent[ident] = (self.record.now(), instance["name"])
        self.record(f"client sends {ident} through {instance['name']}")
        flow = await client.open(ROUTE, instance)
        answer = await client.ask(flow, ident) if flow["open"] else None
        self.record(f"client gets for {ident}: {answer or 'nothing'}")
        client.close(flow)

    async def round(self, index, clients, others, is_troubled):
        """One outage for the machines of a zone. Just after its begin the route moves, and a server of its old service drains."""
        if is_troubled:
            self.record(f"the store turns away the machines of {TURNED_AWAY}")
            self.store.turned_away = {instance["name"] for instance in self.instances if instance["zone"] == TURNED_AWAY}
        end = self.record.now() + OUTAGE_S
        await asyncio.sleep(0.02)
        self.old_service = SERVICES[index % 2]
        self.moved_at = await self.configure(10 + 7 * index, {ROUTE: SERVICES[(index + 1) % 2]})
        self.leaving = next(server for server in self.servers
                            if server.service == self.old_service and server.zone != TURNED_AWAY and server.state == "ready")
        await self.leaving.announce("draining")
        tasks, count = set(), 0
        while self.record.now() < end:
            ident = f"q{index}-{count}"
            task = asyncio.create_task(self.ask_once(clients[count % len(clients)], others[count % len(others)], ident))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            count += 1
            await asyncio.sleep(PROBE_PAUSE_S)
        self.record("the store serves all machines again")
        self.store.turned_away = set()
        if tasks:
            await asyncio.wait(tasks, timeout=2)
        return count


async def play(is_troubled):
    stage = Watched(FOLDER, ZONES, BOUNDS)
    try:
        for zone in ZONES:
            for service in SERVICES * 2:
                await stage.add_server(service, zone)
        await stage.configure(3, {ROUTE: SERVICES[0]})
        await stage.start()
        clients = [Client(stage, f"127.{stage.network}.50.{index + 1}") for index in range(4)]
        for client in clients:
            await client.start()
        others = [instance for instance in stage.instances if instance["zone"] != TURNED_AWAY]
        await asyncio.sleep(BOUNDS["stability_window_ms"] / 1000 + 2)
        count = 0
        for index in range(ROUNDS):
            if index > 0:
                await asyncio.sleep(CALM_S)
            count += await stage.round(index, clients, others, is_troubled)
        if stage.late:
            stage.record.verdict(f"DRAIN broken: {len(stage.late)} openings reached a draining server, the latest {max(stage.late):.2f} s after "
                                 "the acknowledgement")
        if stage.broken:
            age, ident, instance = max(stage.broken)
            stage.record.verdict(f"CONFIG broken: {len(stage.broken)} of {count} requests, the latest ({ident} through {instance}) sent {age:.2f} s "
                                 "after the acknowledgement, were run by the old service")
        if stage.broken or stage.late:
            return 1
        stage.record.verdict(f"CONFIG and DRAIN held: {count} requests through {len(others)} machines in touch")
        return 0
    finally:
        stage.stop()
        stage.keep_logs()


if __name__ == "__main__":
    main(play)
