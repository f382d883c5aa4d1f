"""Starts the system and its stand-ins as plain processes on loopback, for the demo, process tests and measurements.

Every process is started by this script and ended by its id. Ports are chosen free.
"""

import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import threading
import time
import urllib.request

HOST = "127.0.0.1"
handed_out = set()


def is_free(port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                return False
    return True


def free_ports(count):
    """Returns distinct ports that are free for TCP and UDP, below those that the system gives to outgoing connections."""
    ports = []
    while len(ports) < count:
        port = random.randrange(12000, 32000)
        if port not in handed_out and is_free(port):
            handed_out.add(port)
            ports.append(port)
    return ports


def endpoint(port):
    return f"{HOST}:{port}"


class StatusProxy:
    """Stands before the status endpoint of an upstream: passes it on, refuses connections, leaves them unanswered or is slow."""

    def __init__(self, port, upstream_port, mode):
        self.port, self.upstream_port, self.mode = port, upstream_port, mode
        self.listener = None
        self.thread = None
        self.fillers = []
        self.set_mode(mode)

    def set_mode(self, mode):
        old, self.listener, self.mode = self.listener, None, mode
        if self.thread:
            self.thread.join()  # the port is free only once nobody waits on it
        for connection in [old, *self.fillers]:
            if connection:
                connection.close()
        self.thread, self.fillers = None, []
        if mode == "refused":
            return
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((HOST, self.port))
        self.listener.listen(0 if mode == "unanswered" else 64)
        if mode == "unanswered":
            self.fillers = [socket.socket() for _ in range(4)]
            for connection in self.fillers:
                connection.setblocking(False)
                connection.connect_ex((HOST, self.port))
            return
        self.listener.settimeout(0.1)
        self.thread = threading.Thread(target=self.serve, args=(self.listener, 1.0 if mode == "slow" else 0), daemon=True)
        self.thread.start()

    def serve(self, listener, delay):
        while listener is self.listener:
            try:
                connection, _ = listener.accept()
            except TimeoutError:
                continue
            threading.Thread(target=self.answer, args=(connection, delay), daemon=True).start()

    def answer(self, connection, delay):
        with connection:
            try:
                connection.settimeout(2)
                connection.recv(4096)
                time.sleep(delay)
                with urllib.request.urlopen(f"http://{endpoint(self.upstream_port)}/status", timeout=2) as response:
                    body = response.read()
                connection.sendall(b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            except OSError:
                pass  # the instance gave up, or the upstream ended: an unanswered probe either way


class Stage:
    """One running system: platform, instances, fabric, upstreams and callers."""

    def __init__(self, build, instances=3, data_centres=1, timing="{heartbeat: 200ms, lease: 1s, probe: 200ms, quiet: 500ms}"):
        self.build = build
        self.folder = tempfile.TemporaryDirectory(prefix="sapphirespan-")
        self.processes = []
        self.timing = timing
        self.upstreams = []
        ports = free_ports(3 + 3 * instances)
        self.platform_port, self.fabric_port, self.caller_port = ports[:3]
        self.instances = [
            {
                "name": f"entry-{n + 1}",
                "data_centre": f"dc-{n % data_centres + 1}",
                "ingress": ports[3 + 3 * n],
                "peer": ports[4 + 3 * n],
                "control": ports[5 + 3 * n],
                "process": None,
            }
            for n in range(instances)
        ]
        keys = self.path("keys.yaml")
        with open(os.open(keys, os.O_CREAT | os.O_WRONLY, 0o600), "w") as file:
            file.write("keys:\n  - {id: 1, secret: " + "5a" * 32 + "}\n")

    def path(self, name):
        return os.path.join(self.folder.name, name)

    def program(self, name):
        folder = {"sapphirespan": "apps/sapphirespan", "sapphirespand": "apps/sapphirespand"}.get(name, "standins")
        return os.path.join(self.build, folder, name)

    def start(self, name, *arguments, log=None):
        output = open(self.path(log or f"{name}-{len(self.processes)}.log"), "a")
        process = subprocess.Popen([self.program(name), *arguments], stdout=output, stderr=subprocess.STDOUT)
        self.processes.append(process)
        return process

    def start_platform(self):
        return self.start("standin-platform", f"--listen={endpoint(self.platform_port)}")

    def start_fabric(self, seed=1):
        pairs = ",".join(f"{endpoint(i['ingress'])}/{endpoint(i['control'])}" for i in self.instances)
        return self.start("standin-fabric", f"--listen={endpoint(self.fabric_port)}", f"--instances={pairs}", f"--seed={seed}")

    def start_instance(self, instance):
        settings = self.path(instance["name"] + ".yaml")
        peers = ", ".join(f'"{endpoint(i["peer"])}"' for i in self.instances)
        with open(settings, "w") as file:
            file.write(
                f"instance: {instance['name']}\n"
                f"data_centre: {instance['data_centre']}\n"
                f"listen: {{ingress: \"{endpoint(instance['ingress'])}\", peer: \"{endpoint(instance['peer'])}\","
                f" control: \"{endpoint(instance['control'])}\"}}\n"
                f"return_path: \"{endpoint(self.caller_port)}\"\n"
                f"platform: \"{endpoint(self.platform_port)}\"\n"
                f"peers: [{peers}]\n"
                f"key_file: {self.path('keys.yaml')}\n"
                f"timing: {self.timing}\n"
            )
        instance["process"] = self.start("sapphirespand", f"--settings={settings}", log=instance["name"] + ".log")

    def start_instances(self):
        for instance in self.instances:
            self.start_instance(instance)

    def add_service(self, name, address, upstreams, extra="", status_modes=()):
        """Starts upstream stand-ins for a service and writes its file; the first ones are probed through a StatusProxy in the
        modes given. Returns the file's path."""
        rows = []
        for number in range(upstreams):
            tunnel, status = free_ports(2)
            process = self.start(
                "standin-upstream",
                f"--tunnel={endpoint(tunnel)}",
                f"--callers={endpoint(self.caller_port)}",
                f"--service={name}",
                f"--address={address}",
                f"--status={endpoint(status)}",
                f"--name={name}-{number + 1}",
            )
            proxy = None
            if number < len(status_modes):
                proxy = StatusProxy(free_ports(1)[0], status, status_modes[number])
                status = proxy.port
            self.upstreams.append({"service": name, "tunnel": tunnel, "status": status, "process": process, "proxy": proxy})
            rows.append(f'  - {{ip: {HOST}, port: {tunnel}, data_centre: dc-1, status: "{endpoint(status)}"}}')
        folder = self.path(name)
        os.makedirs(folder, exist_ok=True)
        ip, port = address.split(":")
        file_path = os.path.join(folder, "sapphirespan.yaml")
        with open(file_path, "w") as file:
            file.write(f"service: {name}\naddresses:\n  - {{ip: {ip}, port: {port}}}\nupstreams:\n" + "\n".join(rows) + "\n" + extra)
        return file_path

    def cli(self, *arguments, check=True):
        result = subprocess.run([self.program("sapphirespan"), *arguments], capture_output=True, text=True, timeout=120)
        if check and result.returncode != 0:
            raise RuntimeError(f"sapphirespan {arguments}: exit {result.returncode}\n{result.stdout}{result.stderr}")
        return result

    def publish(self, *paths, check=True):
        return self.cli("publish", f"--platform={endpoint(self.platform_port)}", *paths, check=check)

    def wait_in_force(self, seconds=20):
        return self.cli("status", f"--platform={endpoint(self.platform_port)}", f"--wait={seconds}s", check=False)

    def http(self, port, path, method="GET"):
        request = urllib.request.Request(f"http://{endpoint(port)}{path}", method=method)
        with urllib.request.urlopen(request, timeout=2) as response:
            return response.read().decode()

    def rpc(self, instance, method, **parameters):
        body = json.dumps({"jsonrpc": "2.0", "id": 1, "method": method, "params": parameters}).encode()
        request = urllib.request.Request(f"http://{endpoint(instance['control'])}/rpc", data=body, method="POST")
        with urllib.request.urlopen(request, timeout=2) as response:
            return json.loads(response.read())["result"]

    def is_ready(self, instance):
        try:
            self.http(instance["control"], "/ready")
            return True
        except OSError:
            return False

    def wait_ready(self, instances=None, seconds=20):
        deadline = time.monotonic() + seconds
        for instance in instances or self.instances:
            while not self.is_ready(instance):
                if instance["process"].poll() is not None:
                    with open(self.path(instance["name"] + ".log")) as log:
                        raise RuntimeError(f"{instance['name']} ended: {log.read()[-300:]}")
                if time.monotonic() > deadline:
                    raise RuntimeError(f"{instance['name']} is not ready after {seconds} s")
                time.sleep(0.05)

    def start_callers(self, services, connections=200, seconds=10, interval_ms=100):
        text = ",".join(f"{name}={address}" for name, address in services.items())
        return self.start(
            "standin-caller",
            f"--tunnel={endpoint(self.caller_port)}",
            f"--fabric={endpoint(self.fabric_port)}",
            f"--services={text}",
            f"--connections={connections}",
            f"--seconds={seconds}",
            f"--interval_ms={interval_ms}",
            log="caller.log",
        )

    def events(self, name):
        """Returns the JSON log lines of an instance."""
        with open(self.path(name + ".log")) as file:
            return [json.loads(line) for line in file if line.startswith("{")]

    def invariant_breaches(self):
        return sum(1 for i in self.instances for event in self.events(i["name"]) if event["event"] == "invariant_broken")

    def close(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        self.folder.cleanup()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.close()
