#!/usr/bin/env python3
"""Open flows of upstreams that live and serve all the time, whatever their TCP ports do, on real instances.

Usage: cookie_flows_test.py BUILD_FOLDER VARIANT [--instances N] [--upstreams N] [--zones N] [--clients N] [--seconds S] [--seed N].
Exit code 0 only if no instance reset a flow that its upstream holds open. Prints what the instances logged about the upstreams
of flows that were reset.
"""

import argparse
import asyncio
import collections
import json
import os
import random
import resource
import sys

from cookie_stage import Client, CookieStage, Upstream

SHORT_STALL, LONG_STALL = 0.9, 2.5
STALL_PAUSE = 0.1  # between two upstreams that read nothing
SLOW_FACTOR, SLOW_S, SLOW_PERIOD = 8, 4.0, 12.0
MOST_PRINTED = 5  # broken flows whose logs are printed
REACHABILITY_EVENTS = ("upstream_suspect", "upstream_dark", "upstream_back", "data_centre_", "probe_", "host_", "flow_reset",
                       "instance_paused", "no JSON")


class ServingUpstream(Upstream):
    """Takes some time for each request. While it is held up it reads nothing."""

    slowness = 1

    async def hold_up(self, seconds):
        self.unread = []
        self.stage.flows_held_up += len(self.flows)
        await asyncio.sleep(seconds)
        self.resume_reading()

    def begin_work(self, key, flow, got):
        work = min(0.1, random.lognormvariate(-4.0, 0.5)) * self.slowness
        asyncio.get_running_loop().call_later(work, self.respond, key, flow, got)


class PausingClient(Client):
    """Uses a long flow with pauses."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.longest_pause = self.random.choice((0.6, 0.6, 3))


class FlowStage(CookieStage):
    upstream_type, client_type = ServingUpstream, PausingClient

    def __init__(self, build, is_listening, upstream_count, **settings):
        super().__init__(build, **settings)
        self.first_port_mode = "open" if is_listening else "closed"
        self.upstream_count, self.flows_held_up = upstream_count, 0
        self.latest_turn = 0.0
        if len(self.instances) > 20:
            self.readiness_period, self.start_pause = len(self.instances) / 40, 0.03

    async def add_upstreams(self):
        services = ["subscriptions", "subscriptions", "packhouse"]
        for index in range(self.upstream_count):
            await self.add_upstream(services[index % 3], self.zones[index // 3 % len(self.zones)])

    async def watch_turns(self):
        """Notes how late this process is, since that delays clients and upstreams alike."""
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + 0.01
            await asyncio.sleep(0.01)
            self.latest_turn = max(self.latest_turn, loop.time() - due)

    def log_lines(self):
        for instance in self.instances:
            with open(os.path.join(self.folder.name, instance["name"] + ".log")) as file:
                for line in file:
                    yield instance, line.strip()

    def print_event_counts(self):
        """Counts what the instances logged on reachability, by event and reason. They leave out lines of events that come too often."""
        counts = collections.Counter()
        for instance, line in self.log_lines():
            build = self.builds[instance["starts"] % 2]
            side = "" if self.builds[0] == self.builds[1] else ", earlier build" if build == self.builds[0] else ", this build"
            entry = json.loads(line) if line.startswith("{") else {"event": "no JSON", "detail": line}
            event = entry.get("event", "")
            if event.startswith(REACHABILITY_EVENTS):
                counts[event, (entry.get("detail") or entry.get("reason") or "") + side] += 1
            elif event == "lines_left_out":
                counts["flow_reset", "(left out)" + side] += entry.get("flow_reset", 0)
        for (event, reason), count in sorted(counts.items()):
            if count:
                print(f"logged {count} times: {event} {reason}")

    def set_descriptor_limit(self, limit):
        for instance in self.instances:
            resource.prlimit(instance["process"].pid, resource.RLIMIT_NOFILE, (limit, limit))


class FlowCase:
    """One variant on one stage."""

    def __init__(self, stage, variant, seed, seconds, listener_at):
        self.stage, self.variant, self.seconds, self.listener_at = stage, variant, seconds, listener_at
        self.random = random.Random(seed)

    async def hold_up_one_by_one(self, upstreams, seconds):
        while True:
            for upstream in self.random.sample(upstreams, len(upstreams)):
                await upstream.hold_up(seconds)
                await asyncio.sleep(STALL_PAUSE)

    async def slow_down_at_times(self):
        while True:
            await asyncio.sleep(SLOW_PERIOD - SLOW_S)
            ServingUpstream.slowness = SLOW_FACTOR
            self.stage.flows_held_up += sum(len(upstream.flows) for upstream in self.stage.upstreams)
            await asyncio.sleep(SLOW_S)
            ServingUpstream.slowness = 1

    async def change_listeners(self, listens):
        await asyncio.sleep(self.listener_at)
        for upstream in self.stage.upstreams:
            upstream.set_port("open" if listens else "closed")
        print("all upstreams listen now" if listens else "no upstream listens any more", flush=True)

    def begin(self):
        upstreams = self.stage.upstreams
        if self.variant == "no-listener":
            return []
        if self.variant == "no-listener-slow":
            return [self.slow_down_at_times()]
        if self.variant == "late-longer":
            return [self.hold_up_one_by_one(upstreams, LONG_STALL)]
        if self.variant == "full-queue-late":
            full = self.random.sample(upstreams, max(2, len(upstreams) // 5))
            for upstream in full:
                upstream.set_port("full")
            return [self.hold_up_one_by_one(full[: max(2, len(full) // 2)], SHORT_STALL)]
        changes = {"listener-comes-late": [True], "listener-ends": [False]}.get(self.variant, [])
        return [self.hold_up_one_by_one(upstreams, SHORT_STALL)] + [self.change_listeners(listens) for listens in changes]

    async def run(self, descriptors):
        await self.stage.start()
        print("all instances are ready", flush=True)
        turns = asyncio.create_task(self.stage.watch_turns())
        await asyncio.sleep(2)
        if descriptors:
            self.stage.set_descriptor_limit(descriptors)
        steps = [asyncio.create_task(step) for step in self.begin()]
        await asyncio.sleep(self.seconds)
        for step in [*steps, turns]:
            if step.done():
                step.result()
            step.cancel()
        for upstream in self.stage.upstreams:
            if upstream.unread is not None:
                upstream.resume_reading()
        await self.stage.stop()


VARIANTS = {"listening": True, "no-listener": False, "no-listener-late": False, "no-listener-slow": False, "full-queue-late": True,
            "late-longer": False, "listener-comes-late": False, "listener-ends": True}  # whether the upstreams listen at first


async def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("build")
    parser.add_argument("variant", choices=VARIANTS)
    parser.add_argument("--instances", type=int, default=7)
    parser.add_argument("--upstreams", type=int, default=15)
    parser.add_argument("--zones", type=int, default=3)
    parser.add_argument("--clients", type=int, default=90, help="number of clients of all data centres, each with one flow")
    parser.add_argument("--seconds", type=float, default=30)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--network", type=int, help="second number of all addresses")
    parser.add_argument("--listener-at", type=float, default=10, help="seconds after which listeners come or end")
    parser.add_argument("--descriptors", type=int, help="limit of descriptors of each instance")
    parser.add_argument("--earlier-build")
    arguments = parser.parse_args()
    random.seed(arguments.seed)
    zones = tuple(f"dc-{index + 1}" for index in range(arguments.zones))
    stage = FlowStage(arguments.build, VARIANTS[arguments.variant], arguments.upstreams, zones=zones, instance_count=arguments.instances,
                      clients_per_zone=arguments.clients // arguments.zones, network=arguments.network or 130 + arguments.seed % 60,
                      earlier_build=arguments.earlier_build)
    case = FlowCase(stage, arguments.variant, arguments.seed, arguments.seconds, arguments.listener_at)
    await case.run(arguments.descriptors)
    stage.print_event_counts()
    stage.print_logs_of_broken_flows(MOST_PRINTED)
    print(f"{arguments.variant}, {arguments.instances} instances, {arguments.upstreams} upstreams, seed {arguments.seed}: {stage.summary()}, "
          f"flows of upstreams held up {stage.flows_held_up}, worst delay of this process {stage.latest_turn * 1000:.0f} ms")
    is_idle = stage.flows_held_up == 0 and arguments.variant != "no-listener"
    passed = stage.served > 0 and not (stage.broken or stage.wrong or stage.misdelivered or is_idle)
    print("1 passed, 0 failed" if passed else "0 passed, 1 failed")
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
