#!/usr/bin/env python3
"""The main job on stand-ins: real TCP requests through the spray while an upstream drains and an instance leaves.

Usage: demo.py BUILD_FOLDER. Exit code 0 only when every answer came and nothing broke or was misdelivered.
"""

import signal
import sys
import time

from stage import Stage

SERVICES = {"subscriptions": "10.80.0.1:443", "packhouse": "10.80.0.2:443"}
SECONDS = 10


def main():
    with Stage(sys.argv[1]) as stage:
        stage.start_platform()
        files = [stage.add_service(name, address, 2) for name, address in SERVICES.items()]
        time.sleep(0.3)
        print(stage.publish(*files).stdout.strip())
        stage.start_instances()
        stage.start_fabric()
        stage.wait_ready()
        print(stage.wait_in_force().stdout.strip())
        time.sleep(0.5)
        caller = stage.start_callers(SERVICES, seconds=SECONDS)
        time.sleep(SECONDS * 0.3)
        print("draining one upstream of subscriptions")
        stage.upstreams[0]["process"].send_signal(signal.SIGUSR1)
        time.sleep(SECONDS * 0.3)
        leaver = stage.instances[1]
        print(f"stopping {leaver['name']} by SIGTERM")
        leaver["process"].send_signal(signal.SIGTERM)
        caller_exit = caller.wait(timeout=SECONDS + 60)
        leaver_exit = leaver["process"].wait(timeout=40)
        breaches = stage.invariant_breaches()
        for instance in stage.instances:
            print(instance["name"], {k: v for k, v in stage.events(instance["name"])[-1].items() if k in ("event", "forwarded", "relayed")})
        with open(stage.path("caller.log")) as file:
            counts = file.read().strip()
        print(f"leaver exit={leaver_exit} invariant_breaches={breaches}")
        print(counts)
        return 0 if caller_exit == 0 and leaver_exit == 0 and breaches == 0 else 1


if __name__ == "__main__":
    sys.exit(main())
