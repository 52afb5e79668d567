"""All entries are killed at once after a tenant has used half of its allotment within a second."""

import asyncio
import signal
import time

import http1
import world

RATE = 100_000  # tokens a second that the tenant may use (rate-per-s); burst 0
TOKENS = (2000, 500)  # Token-Counts of each request
COST = sum(TOKENS)
FIRST = 190  # requests that the tenant sends at first, over FIRST_TIME
FIRST_TIME = 0.6  # seconds
KILL_AT = 0.9  # seconds after the first request
DOWN = 1.0  # seconds until the processes are started again (for_s of herd_kill)
LATER = 120  # requests a second that it asks for after that
UNTIL = 9.5  # seconds after the first request
LIMIT_MS = 1500
WINDOW = world.BOUNDS["quota-window-s"]
ALLOWED = RATE * WINDOW * (1 + world.BOUNDS["quota-overage"]) + world.BOUNDS["quota-slack"]


class Case:
    def __init__(self, deployment):
        self.world = deployment
        self.record = deployment.record
        self.runs = []  # times
        self.statuses = {}
        self.sent = 0

    async def run(self, worker, fields, target, body, reader, writer):
        identity = fields["request-id"]
        self.runs.append(time.monotonic())
        self.record.add(f"{worker.id} runs {identity}, {fields['token-counts']} tokens")
        await asyncio.sleep(0.01)
        writer.write(http1.answer(200, {"Request-Id": identity, "Response-Stamp": worker.stamp()}, b"ok"))

    async def ask(self, number):
        """One request, on a channel of its own; the platform spreads channels over the entries."""
        entry = self.world.entries[number % len(self.world.entries)]
        identity = f"r{number}"
        fields = [("Token-Counts", f"{TOKENS[0]},{TOKENS[1]}"), ("Connection", "close")]
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*entry.address), 1.0)
            writer.write(world.request("POST", f"/order/{number}", identity, LIMIT_MS, b"kit", fields))
            head = await asyncio.wait_for(http1.read_head(reader), LIMIT_MS / 1000)
            status = int(head[0].split()[1]) if head is not None else "closed"
            writer.close()
        except (OSError, asyncio.TimeoutError):
            status = "no answer"
        self.statuses[status] = self.statuses.get(status, 0) + 1
        self.record.add(f"caller sends {identity} to {entry.name}, gets {status}")

    async def send(self, count, seconds):
        begun = time.monotonic()
        for number in range(count):
            await asyncio.sleep(max(0, begun + seconds * number / count - time.monotonic()))
            self.world.background(self.ask(self.sent))
            self.sent += 1

    async def kill_all(self):
        self.record.add(f"all entries are killed at once; ran so far: {len(self.runs) * COST} tokens")
        for entry in self.world.entries:
            entry.signal(signal.SIGKILL)
        for entry in self.world.entries:
            entry.process.wait()
        await asyncio.sleep(DOWN)
        for entry in self.world.entries:
            entry.start()

    def most_in_window(self):
        """The most tokens that ran within any quota-window-s."""
        most = start = 0
        for end, at in enumerate(self.runs):
            while at - self.runs[start] > WINDOW:
                start += 1
            most = max(most, (end - start + 1) * COST)
        return most


async def play(deployment, is_troubled):
    case = Case(deployment)
    config = world.configuration([world.route("order", "unsafe", "orders-app", LIMIT_MS, 500)], ["orders-app"])
    config["tenants"][0].update({"unit": "tokens", "plain-tokens": 200, "rate-per-s": RATE, "burst": 0})
    await deployment.start(config, 2)
    for number in range(6):
        await world.Worker(deployment, f"w{number}", "orders-app", number + 1).start(case.run)
    await deployment.wait_ready()
    # A whole window and more without requests: nothing is left of what the start assumes.
    await asyncio.sleep(WINDOW + 4)
    begun = time.monotonic()
    await case.send(FIRST, FIRST_TIME)
    await asyncio.sleep(max(0, begun + KILL_AT - time.monotonic()))
    if is_troubled:
        await case.kill_all()
    left = begun + UNTIL - time.monotonic()
    await case.send(int(LATER * left), left)
    await asyncio.sleep(2)
    most = case.most_in_window()
    summary = f"statuses {case.statuses}, most in {WINDOW} s: {most} tokens, allowed {ALLOWED:.0f}"
    deployment.record.add(summary)
    print(summary)
    return most > ALLOWED


world.main(play, __file__)
