#!/usr/bin/env python3
"""One instance whose settings file changes while it starts and runs, each time with a value that it refuses.

Guards against one bad key that keeps an instance from starting or that holds back new seeds, and against a change of the file that
is missed because it comes soon after the start.

Usage: settings_test.py BUILD_FOLDER. Exit code 0 only when all holds.
"""

import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

IP = "127.79.0.1"
INGRESS, READINESS, PEER, CONTROL, STORE = range(7901, 7906)
TIMEOUT_S = 10
failures = []


def settings(seeds, leave_limit, instance="entry-1"):
    return (f"steering: cookie\ninstance: {instance}\ndata_centre: dc-1\n"
            f'listen: {{ingress: "{IP}:{INGRESS}", readiness: "{IP}:{READINESS}", control: "{IP}:{CONTROL}", peer: "{IP}:{PEER}"}}\n'
            f'platform: "{IP}:{STORE}"\nseeds: [{", ".join(seeds)}]\nleave_limit: {leave_limit}\n')


def replace(path, text):
    path.with_suffix(".new").write_text(text)
    path.with_suffix(".new").replace(path)


def expect(holds, what):
    print(f"{'holds' if holds else 'FAILED'}: {what}")
    if not holds:
        failures.append(what)


def wait_for(condition):
    end = time.monotonic() + TIMEOUT_S
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(0.05)
    return False


class Seed:
    """The report port of a machine that is named as a seed."""

    def __init__(self, ip):
        self.text = f'"{ip}:{CONTROL}"'
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((ip, PEER))

    def hears(self):
        """@returns whether an instance has sent a report since the last call"""
        self.socket.setblocking(False)
        count = 0
        try:
            while self.socket.recv(1 << 16):
                count += 1
        except BlockingIOError:
            pass
        return count > 0


def main():
    program = os.path.join(sys.argv[1], "apps/sapphirespand/sapphirespand")
    with tempfile.TemporaryDirectory(prefix="sapphirespan-") as folder:
        path, log_path = Path(folder) / "entry.yaml", Path(folder) / "entry.log"
        replace(path, settings([], "6s", instance=""))
        check = subprocess.run([program, f"--settings={path}"], capture_output=True, text=True, timeout=TIMEOUT_S, check=False)
        expect(check.returncode == 1 and "expected instance: " in check.stderr,
               "an instance without a name does not start, and names the key")
        replace(path, settings([], "trues"))
        check = subprocess.run([program, f"--settings={path}", "--check_settings"], capture_output=True, text=True, timeout=TIMEOUT_S, check=False)
        expect(check.returncode == 1 and "leave_limit" in check.stderr, "a check of the settings names the key that is refused")
        seeds = [Seed(f"127.79.0.{number}") for number in (2, 3, 4)]
        with open(log_path, "w") as log:
            process = subprocess.Popen([program, f"--settings={path}"], stdout=log, stderr=log)
        try:
            expect(wait_for(lambda: "instance_started" in log_path.read_text()), "an instance starts with a key that is refused")
            expect("leave_limit" in log_path.read_text(), "it names the key")
            replace(path, settings([seeds[0].text], "6.5s"))
            expect(wait_for(seeds[0].hears), "a change of the file just after the start is taken over without a signal")
            replace(path, settings([seeds[1].text], "6,5s"))
            process.send_signal(signal.SIGHUP)
            expect(wait_for(seeds[1].hears), "a refused key does not hold back seeds that are good")
            expect(log_path.read_text().count("leave_limit") > 1, "it is named again")
            replace(path, settings(["nowhere", seeds[2].text], "6s"))
            process.send_signal(signal.SIGHUP)
            expect(wait_for(seeds[2].hears), "a seed that cannot be read does not hold back the others")
            replace(path, "seeds: [\n")
            process.send_signal(signal.SIGHUP)
            expect(wait_for(lambda: "valid YAML" in log_path.read_text()), "a file that cannot be read is reported")
            seeds[2].hears()
            expect(wait_for(seeds[2].hears), "the seeds that were good stay")
            expect(process.poll() is None, "the instance goes on")
        finally:
            process.kill()
            process.wait()
            print(log_path.read_text(), end="")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
