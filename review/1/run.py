"""The servers of one service in one zone fall silent; a server of another service there goes on serving. See claim.txt."""

import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
from stage import Client, Stage, main, shortened  # noqa: E402

ZONES = {"fenmarsh-a": 3, "fenmarsh-b": 2, "fenmarsh-c": 2}
SERVERS = {"subscriptions": {"fenmarsh-a": 5, "fenmarsh-b": 5, "fenmarsh-c": 4},
           "packhouse": {"fenmarsh-a": 2, "fenmarsh-b": 1, "fenmarsh-c": 1}}
ROUTES = {("198.18.0.1", 443): "subscriptions", ("198.18.0.2", 443): "packhouse"}
BOUNDS = {"stability_window_ms": 4000, "idle_timeout_ms": 15000, "max_flow_s": 60}
CLIENTS_PER_ZONE = {"subscriptions": 40, "packhouse": 20}
CRASH_S = 4.5
EXPIRY_S = 3.6  # three heartbeat intervals
CRASHED_ZONES = shortened(("fenmarsh-b", "fenmarsh-c") * 3, ("fenmarsh-b",))
PERIOD_S = 11.0


class Watched(Stage):
    def __init__(self, folder, zones, bounds):
        super().__init__(folder, zones, bounds)
        self.broken, self.asked, self.answered, self.is_over = [], 0, 0, False

    def work(self):
        """As `delivery-watch`: 22 ms in the mean, 140 ms at most."""
        return min(0.14, random.lognormvariate(-3.94, 0.5))

    def reset_received(self, client, flow):
        super().reset_received(client, flow)
        holder = self.holder(client, flow)
        age, rest = self.record.now() - flow["opened_at"], self.record.now() - flow["used_at"]
        if flow["reset"] == "system" and flow["open"] and holder and age < BOUNDS["max_flow_s"] and rest < BOUNDS["idle_timeout_ms"] / 1000:
            self.broken.append(flow)
            self.record(f"FLOW broken: {flow['via']['name']} resets a flow of {age:.2f} s, last used {rest:.2f} s ago, that server {holder.name} of "
                        f"{holder.service} in {holder.zone} holds and serves")

    def instance_for(self, client, port):
        mine = [instance for instance in self.instances if instance["zone"] == client.zone]
        return mine[hash((client.ip, port)) % len(mine)]

    async def use(self, client, route):
        """Sends one request after the other on a long flow, with pauses; opens a new one after 40 s or a reset."""
        flow, count = None, 0
        while not self.is_over:
            if flow is None:
                flow = await client.open(route, self.instance_for(client, client.port + 1))
            if flow["open"] and not flow["reset"]:
                count += 1
                self.asked += 1
                flow["used_at"] = self.record.now()
                answer = await client.ask(flow, f"{client.ip}-{count}")
                self.answered += answer is not None
                self.record(f"client {client.ip}:{flow['port']} gets for {count}: {answer or 'nothing'}")
            await asyncio.sleep(random.uniform(0.2, 2.0))
            if not flow["open"] or flow["reset"] or self.record.now() - flow["opened_at"] > 40:
                client.close(flow)
                flow = None

    async def crash(self, zone):
        """All servers of `subscriptions` in a zone fall silent for CRASH_S, then start anew under new ids."""
        crashed = [server for server in self.servers if server.alive and server.zone == zone and server.service == "subscriptions"]
        self.record(f"the {len(crashed)} servers of subscriptions in {zone} fall silent")
        for server in crashed:
            server.crash()
        await asyncio.sleep(EXPIRY_S)
        for server in crashed:
            await self.store.write("servers", server.name, None)
        await asyncio.sleep(CRASH_S - EXPIRY_S)
        for server in crashed:
            server.end()
        await asyncio.sleep(0.05)
        for server in crashed:
            await self.add_server(server.service, zone, server.address)


async def play(is_troubled):
    stage = Watched(FOLDER, ZONES, BOUNDS)
    try:
        for service, zones in SERVERS.items():
            for zone, count in zones.items():
                for _ in range(count):
                    await stage.add_server(service, zone)
        await stage.configure(3, ROUTES)
        await stage.start()
        users = []
        for zone_index, zone in enumerate(ZONES):
            for service_index, (route, service) in enumerate(ROUTES.items()):
                for index in range(CLIENTS_PER_ZONE[service]):
                    client = Client(stage, f"127.{stage.network}.{50 + 2 * zone_index + service_index}.{index + 1}")
                    client.zone = zone
                    await client.start()
                    users.append(asyncio.create_task(stage.use(client, route)))
        await asyncio.sleep(BOUNDS["stability_window_ms"] / 1000 + 3)
        for zone in CRASHED_ZONES:
            end = stage.record.now() + PERIOD_S
            if is_troubled:
                await stage.crash(zone)
            await asyncio.sleep(end - stage.record.now())
        stage.is_over = True
        await asyncio.wait(users, timeout=4)
        if stage.broken:
            stage.record.verdict(f"FLOW broken: {len(stage.broken)} open flows of living servers were reset; {stage.answered} of {stage.asked} requests "
                                 "answered")
            return 1
        stage.record.verdict(f"FLOW held: {stage.answered} of {stage.asked} requests answered")
        return 0
    finally:
        stage.stop()
        stage.keep_logs()


if __name__ == "__main__":
    main(play)
