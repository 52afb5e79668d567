"""The operator evacuates a failure domain and takes it back; what must hold meanwhile."""

import time

DOMAINS = ("east", "west")
EVACUATE = 5.0  # seconds from the acknowledgement of the order until nothing new may arrive


class Evacuations:
    """Orders in force, as the operator knows them."""

    def __init__(self, ledger):
        self.ledger = ledger
        self.ordered = {}  # domain -> acknowledged at

    async def order(self, store, domain):
        await store.put("keyed.op", f"evacuate/{domain}", "{}")
        self.ordered[domain] = time.monotonic()
        self.ledger.counts["evacuated"] += 1

    async def take_back(self, store, domain):
        self.ordered.pop(domain, None)  # it may be used from the moment at which this is sent
        await store.put("keyed.op", f"evacuate/{domain}", None)

    def check(self, request, endpoint, domain, now):
        """A request reached an endpoint of the domain."""
        since = self.ordered.get(domain)
        if since is None or request.sent <= since + EVACUATE:
            return
        has_learnt = self.ledger.in_touch(request.entry, since, since + EVACUATE)
        if has_learnt and self.ledger.is_calm((request.entry, "all"), since, now, ("config",)):
            self.ledger.find("EVAC", f"{request.id} reached {endpoint} in {domain} {now - since:.2f} s after its evacuation, from {request.entry}")
