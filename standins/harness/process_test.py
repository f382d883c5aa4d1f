#!/usr/bin/env python3
"""Failures on real processes: whole answers through kills, freezes, restarts, outages and lost answers of the platform.

Usage: process_test.py BUILD_FOLDER [CASE...]. Prints one line for each case and `N passed, N failed` at the end.
Verdicts depend on counts and outcomes, not on how long anything took.
"""

import json
import signal
import sys
import time
import urllib.error

from stage import Stage, endpoint

SERVICES = {"order-desk": "10.80.0.1:443", "drawing-vault": "10.80.0.2:443"}


class Failed(Exception):
    pass


def check(condition, text):
    if not condition:
        raise Failed(text)


def start_all(stage, upstreams=2):
    stage.start_platform()
    files = [stage.add_service(name, address, upstreams) for name, address in SERVICES.items()]
    time.sleep(0.3)
    stage.publish(*files)
    stage.start_instances()
    stage.start_fabric()
    stage.wait_ready()
    time.sleep(0.5)
    return files


def finish(stage, caller):
    exit_code = caller.wait(timeout=90)
    with open(stage.path("caller.log")) as file:
        counts = file.read().strip()
    check(stage.invariant_breaches() == 0, "an invariant was broken")
    check(exit_code == 0, f"callers: {counts}")
    return counts


def fault(stage, query):
    stage.http(stage.platform_port, "/admin/faults?" + query, "POST")


def killed_instance(stage):
    """One of three instances dies without a word, and starts again."""
    start_all(stage)
    caller = stage.start_callers(SERVICES, seconds=8)
    time.sleep(2)
    victim = stage.instances[0]
    victim["process"].kill()
    victim["process"].wait()
    time.sleep(2)
    stage.start_instance(victim)
    counts = finish(stage, caller)
    stage.wait_ready([victim])
    return counts


def frozen_instance(stage):
    """One instance is stopped beyond its lease while an upstream drains, and wakes."""
    start_all(stage)
    caller = stage.start_callers(SERVICES, seconds=9)
    time.sleep(2)
    frozen = stage.instances[2]
    frozen["process"].send_signal(signal.SIGSTOP)
    stage.upstreams[0]["process"].send_signal(signal.SIGUSR1)
    time.sleep(3)
    frozen["process"].send_signal(signal.SIGCONT)
    counts = finish(stage, caller)
    check(any(event["event"] == "instance_lapsed" for event in stage.events(frozen["name"])), "the pause was not noticed")
    stage.wait_ready([frozen])
    return counts


def platform_outage(stage):
    """While the platform is down, traffic flows, a restarted instance learns from peers, and a publisher is told so."""
    files = start_all(stage)
    caller = stage.start_callers(SERVICES, seconds=9)
    time.sleep(1)
    fault(stage, "down=1")
    restarted = stage.instances[1]
    restarted["process"].send_signal(signal.SIGTERM)
    check(restarted["process"].wait(timeout=40) == 0, "the hand-over was cut short")
    stage.start_instance(restarted)
    stage.wait_ready([restarted])
    refused = stage.publish(files[0], check=False)
    check(refused.returncode in (3, 4), f"publish during the outage: exit {refused.returncode}")
    status = stage.cli("status", f"--platform={endpoint(stage.platform_port)}", check=False)
    check(status.returncode == 4, f"status during the outage: exit {status.returncode}")
    counts = finish(stage, caller)
    fault(stage, "down=0")
    check(stage.wait_in_force().returncode == 0, "not in force after the outage")
    return counts


def lost_answer(stage):
    """The answer to the committing write is lost: the publisher finds out that it took effect."""
    files = start_all(stage)
    with open(files[0], "a") as file:
        file.write("traffic: {favour: evenness}\n")
    fault(stage, "lose_answers=3")  # content, index and head
    outcome = json.loads(stage.publish("--format=json", files[0]).stdout)
    check(outcome["verdict"] == "accepted" and outcome["generation"] == 2, str(outcome))
    again = json.loads(stage.publish("--format=json", f"--resume={outcome['publish_id']}", files[0]).stdout)
    check(again["verdict"] == "accepted" and again["generation"] == 2, str(again))
    check(stage.wait_in_force().returncode == 0, "not in force")
    verified = stage.cli("verify", f"--platform={endpoint(stage.platform_port)}", f"--instance={endpoint(stage.instances[0]['control'])}")
    check(verified.stdout.count("as the platform") == 3, verified.stdout)
    return f"generation {outcome['generation']}"


def stale_reads(stage):
    """The platform serves old reads: no instance goes back, and a publisher does not overwrite what is newer."""
    files = start_all(stage)
    fault(stage, "stale=1")
    with open(files[0], "a") as file:
        file.write("traffic: {favour: evenness}\n")
    first = json.loads(stage.publish("--format=json", files[0]).stdout)
    check(first["generation"] == 2, str(first))
    with open(files[1], "a") as file:
        file.write("traffic: {favour: evenness}\n")
    second = stage.publish("--format=json", files[1], check=False)
    check(json.loads(second.stdout)["verdict"] in ("refused", "unknown"), second.stdout)
    fault(stage, "stale=0")
    check(stage.publish(files[1], check=False).returncode == 0, "publishing after the stale reads")
    check(stage.wait_in_force().returncode == 0, "not in force")
    for instance in stage.instances:
        generations = [int(e["subject"]) for e in stage.events(instance["name"]) if e["event"] == "generation_in_force"]
        check(generations == sorted(generations), f"{instance['name']} went back: {generations}")
    return "generations only rose"


def racing_publishers(stage):
    """Two publishers of different services at once: both are accepted."""
    files = start_all(stage)
    for path in files:
        with open(path, "a") as file:
            file.write("traffic: {favour: evenness}\n")
    fault(stage, "delay_ms=30")
    import concurrent.futures

    with concurrent.futures.ThreadPoolExecutor() as pool:
        outcomes = list(pool.map(lambda path: json.loads(stage.publish("--format=json", path).stdout), files))
    fault(stage, "delay_ms=0")
    check(sorted(outcome["generation"] for outcome in outcomes) == [2, 3], str(outcomes))
    check(stage.wait_in_force().returncode == 0, "not in force")
    return "generations 2 and 3"


def operators_view(stage):
    """explain, report and metrics tell what is so."""
    start_all(stage)
    caller = stage.start_callers(SERVICES, seconds=4)
    control = endpoint(stage.instances[0]["control"])
    report = stage.cli("report", f"--instance={control}", "--wait=3s", "--format=json", f"--html={stage.path('burn.html')}")
    services = json.loads(report.stdout)["services"]
    check(set(services) == set(SERVICES) and all(row["long"]["bad"] == 0 for row in services.values()), report.stdout)
    explained = stage.cli("explain", f"--instance={control}", "--format=json", "10.9.0.1:50000", SERVICES["order-desk"])
    check(json.loads(explained.stdout)["service"] == "order-desk", explained.stdout)
    unknown = stage.cli("explain", f"--instance={control}", "10.9.0.1:50000", "10.80.0.9:1")
    check("unknown_service" in unknown.stdout, unknown.stdout)
    metrics = stage.http(stage.instances[0]["control"], "/metrics")
    check("sapphirespan_batch_duration_seconds_count" in metrics, "no histogram")
    return finish(stage, caller)


def status_endpoint_fails(stage):
    """Failure: open flows are sent elsewhere because of what the status endpoint of their upstream does while it serves them,
    also by instances that were restarted or frozen, or came to own buckets meanwhile."""
    modes = ["refused", "refused", "unanswered", "slow"]
    stage.start_platform()
    files = [stage.add_service("order-desk", SERVICES["order-desk"], 8, status_modes=["refused", "open", "open", "open"])]
    time.sleep(0.3)
    stage.publish(*files)
    stage.start_instances()
    stage.start_fabric()
    stage.wait_ready()
    time.sleep(0.5)
    caller = stage.start_callers({"order-desk": SERVICES["order-desk"]}, seconds=20)
    time.sleep(2)
    judged = stage.upstreams[:4]
    for upstream, mode in zip(judged[1:], modes[1:]):
        upstream["proxy"].set_mode(mode)
    time.sleep(3)
    restarted, frozen = stage.instances[0], stage.instances[1]
    restarted["process"].send_signal(signal.SIGTERM)
    check(restarted["process"].wait(timeout=40) == 0, "the hand-over was cut short")
    stage.start_instance(restarted)
    stage.wait_ready([restarted])
    frozen["process"].send_signal(signal.SIGSTOP)
    time.sleep(3)
    frozen["process"].send_signal(signal.SIGCONT)
    stage.wait_ready([frozen])
    for upstream in judged:
        upstream["proxy"].set_mode("open")
    counts = finish(stage, caller)
    events = [event for event in stage.events(stage.instances[2]["name"]) if event["event"] == "upstream_phase_changed"]
    for upstream in judged:
        details = [event["detail"] for event in events if event["subject"].endswith(endpoint(upstream["tunnel"]))]
        check("open to down" in details and "down to open" in details, f"{upstream['proxy'].mode}: {details}")
    return counts


CASES = [killed_instance, frozen_instance, platform_outage, lost_answer, stale_reads, racing_publishers, operators_view, status_endpoint_fails]


def main():
    build, names = sys.argv[1], sys.argv[2:]
    passed = failed = 0
    for case in CASES:
        if names and case.__name__ not in names:
            continue
        with Stage(build) as stage:
            try:
                print(f"{case.__name__}: {case(stage)}", flush=True)
                passed += 1
            except (Failed, RuntimeError, OSError, urllib.error.URLError) as error:
                print(f"{case.__name__}: FAILED: {error}", flush=True)
                failed += 1
    print(f"{passed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
