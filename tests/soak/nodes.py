"""The real programs as processes: entries and agents, each on a loopback address of its own."""

import asyncio
import json
import os
import signal
import subprocess
import time

import ledger
import proxy

FIRST_PORT = 7600
CALLER_PORT, READY_PORT, METRICS_PORT = 8221, 8224, 9464
KILL_MARGIN = 0.5  # seconds beyond the time for a shutdown, on a busy machine


class Node:
    def __init__(self, name, role, ip, folder, program, store_address, engine=None):
        self.name = name
        self.role = role
        self.ip = ip
        self.log_path = os.path.join(folder, f"{name}.log")
        self.settings_path = os.path.join(folder, f"{name}.json")
        self.program = program
        self.link = proxy.Link(store_address)  # to the store
        self.process = None
        self.expected_end = True
        self.is_busy = False  # a fault that ends or stops the process is being played
        self.in_rotation = False
        self.misses = 2
        self.engine = engine

    @property
    def callers(self):
        return (self.ip, CALLER_PORT)

    async def prepare(self, store_port):
        await self.link.start(self.ip, store_port)
        settings = {
            "node": self.name,
            "role": self.role,
            "ip": self.ip,
            "zone": "east",
            "internal-ports": [FIRST_PORT, FIRST_PORT + 15],
            "platform": {"address": f"{self.ip}:{store_port}"},
            "bounds": {
                "revoke-ms": int(ledger.WITHDRAW_KEY * 1000),
                "grace-s": int(ledger.SHUTDOWN),
                "quota-window-s": int(ledger.QUOTA_WINDOW),
                "quota-overage": ledger.QUOTA_OVERAGE,
                "quota-slack": ledger.QUOTA_SLACK,
                "retry-budget-ratio": ledger.BUDGET_RATIO,
                "budget-extra": ledger.BUDGET_EXTRA,
                "budget-window-s": int(ledger.BUDGET_WINDOW),
            },
        }
        if self.role == "entry":
            settings["listen"] = {
                "front": f"{self.ip}:{CALLER_PORT}",
                "ready": f"{self.ip}:{READY_PORT}",
            }
        else:
            settings["app"] = "%s:%d" % self.engine
        with open(self.settings_path, "w", encoding="utf8") as file:
            json.dump(settings, file)

    def start(self):
        self.expected_end = False
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                [self.program, self.role, "--settings", self.settings_path, "--metrics-port", str(METRICS_PORT)],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            os.kill(self.process.pid, number)

    def waited(self):
        """Seconds that the process could run and had no processor, since its start."""
        try:
            with open(f"/proc/{self.process.pid}/schedstat", encoding="ascii") as file:
                return int(file.read().split()[1]) / 1e9
        except (OSError, AttributeError, IndexError):  # ended, not started, or not counted by the kernel
            return 0.0

    def kill(self):
        self.expected_end = True
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    async def terminate(self, pauses=()):
        """SIGTERM, again after each pause, then SIGKILL after the time for a shutdown; seconds it took, or None."""
        self.expected_end = True
        start = time.monotonic()
        self.signal(signal.SIGTERM)
        for pause in pauses:
            await asyncio.sleep(pause)
            self.signal(signal.SIGTERM)
        while time.monotonic() < start + ledger.SHUTDOWN + KILL_MARGIN:
            if self.process.poll() is not None:
                return time.monotonic() - start
            await asyncio.sleep(0.02)
        self.kill()
        return None

    def own_end(self):
        """Exit code of a process that ended by itself."""
        if self.expected_end or self.process is None:
            return None
        return self.process.poll()

    async def ask_ready(self):
        """Asks as the platform's balancer does: two misses take the entry out of rotation."""
        try:
            opening = asyncio.open_connection(self.ip, READY_PORT)
            reader, writer = await asyncio.wait_for(opening, 0.5)
            writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 0.5)
            writer.close()
            is_ready = b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            is_ready = False
        self.misses = 0 if is_ready else self.misses + 1
        self.in_rotation = self.misses < 2
        return is_ready
