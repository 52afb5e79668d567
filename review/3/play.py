"""A caller hides a request in the body of another one, whose length the entry must not guess."""

import asyncio

import http1
import world

REQUESTS = 20
LIMIT_MS = 3000
CODING = "chunked, identity"  # chunked is not the last coding: the body has no length that can be told


class Case:
    def __init__(self, deployment):
        self.record = deployment.record
        self.bodies = {}  # by request id of the requests that callers sent
        self.runs = 0
        self.smuggled = []
        self.changed = []

    async def run(self, worker, fields, target, body, reader, writer):
        identity = fields["request-id"]
        self.runs += 1
        self.record.add(f"{worker.id} runs {identity} {target}, {len(body)} bytes, tenant {fields.get('tenant')}")
        if identity not in self.bodies:
            self.smuggled.append(identity)
        elif body != self.bodies[identity]:
            self.changed.append(identity)
        head = {"Request-Id": identity, "Response-Stamp": worker.stamp()}
        writer.write(http1.answer(200, head, b"order " + identity.encode()))

    async def ask(self, entry, number, is_troubled):
        hidden = world.request("POST", f"/order/hidden{number}", f"hidden{number}", LIMIT_MS, b"twice")
        identity = f"r{number}"
        self.bodies[identity] = hidden
        head = [f"POST /order/{number} HTTP/1.1", "Host: kit.example", f"Request-Id: {identity}",
                f"Deadline-Ms: {LIMIT_MS}", f"Authorization: Bearer {world.KEY}"]  # fmt: skip
        head.append(f"Transfer-Encoding: {CODING if is_troubled else 'chunked'}")
        data = ("\r\n".join(head) + "\r\n\r\n").encode()
        data += hidden if is_troubled else b"%x\r\n%s\r\n0\r\n\r\n" % (len(hidden), hidden)
        reader, writer = await asyncio.open_connection(*entry.address)
        self.record.add(f"caller sends {identity}, its body is the text of a request with id hidden{number}")
        writer.write(data)
        await writer.drain()
        answers = []
        try:
            while True:
                head = await asyncio.wait_for(http1.read_head(reader), 0.5)
                if head is None:
                    break
                await http1.read_body(reader, head[1])
                answers.append(f"{head[0].split()[1]} for {head[1].get('request-id', 'no id')}")
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass
        writer.close()
        self.record.add(f"caller of {identity} gets: {', '.join(answers) or 'nothing'}")


async def play(deployment, is_troubled):
    case = Case(deployment)
    routes = [world.route("order", "unsafe", "orders-app", LIMIT_MS, 300)]
    await deployment.start(world.configuration(routes, ["orders-app"]), 2)
    for number in range(3):
        await world.Worker(deployment, f"w{number}", "orders-app", number + 1).start(case.run)
    await deployment.wait_ready()
    await asyncio.sleep(world.STABLE + 1)
    for number in range(REQUESTS):
        await case.ask(deployment.entries[number % 2], number, is_troubled)
    summary = f"runs {case.runs}, of smuggled requests {len(case.smuggled)}, with a changed body {len(case.changed)}"
    deployment.record.add(summary)
    print(summary)
    if not is_troubled and case.runs < REQUESTS:
        raise world.CannotRun("the requests were not run")
    return bool(case.smuggled or case.changed)


world.main(play, __file__)
