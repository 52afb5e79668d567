"""What callers and endpoints saw, and the promises checked against it as it happens.

Times are seconds of time.monotonic(). A finding is one broken promise; the run goes on after it.
"""

import collections
import dataclasses
import hashlib
import itertools
import time

import evacuations

STABLE = 3.0  # seconds without faults after which an entry is held to bounds in time
CONFIG_APPLY = 2.0  # seconds until a configuration is in force
WITHDRAW_KEY = 5.0  # seconds after which a withdrawn key serves nothing, on any entry
LEAVING = 2.0  # seconds until an endpoint that leaves gets nothing new
SHUTDOWN = 4.0  # seconds from SIGTERM to SIGKILL
BUDGET_RATIO, BUDGET_EXTRA, BUDGET_WINDOW = 0.2, 56, 10.0
QUOTA_WINDOW, QUOTA_OVERAGE, QUOTA_SLACK = 8.0, 0.1, 40
RATE_WINDOW, RATE_FACTOR, RATE_SLACK, RATE_NEWS = 4.0, 1.5, 5, 0.5
DOWNGRADE_SLACK, SLOWED = 0.25, 8  # seconds after a version has shown; times that for an entry with a fault
DENIED_SLACK = 0.3  # seconds for a request's way and the timers of a busy machine
MOST_CRASHES = 3  # of endpoints under one request
MOST_PART_CRASHES = 5  # of endpoints under requests with one part of their prompts
MOST_LATE_SENDS = 3  # later than STABLE after that
CRASH_BODY = b"crash"
CRASH_PART = "bad0bad0"
SHARED_PART = "50a4ed"  # in crashing and sound requests
FEWEST_SOUND = 20  # requests with the shared part before their refusals count
CRASH_UNDER = "crash under a request"
PROMISES = (408, 421, 429, 503)  # statuses that say "not run"
MOST_DENIED, DENIED_SHARE = 5, 1 / 500  # of requests that all configurations allow, by any entry
MOST_FINDINGS = 40


def digest(data):
    return hashlib.sha1(data).hexdigest()[:16]


@dataclasses.dataclass
class Request:
    """One attempt of a caller."""

    id: str
    method: str
    path: str
    body: bytes
    route: str
    key: str
    entry: str
    deadline: float
    process: int = 0  # id of the entry's process
    is_crashing: bool = False  # ends each endpoint that runs it
    is_sound: bool = False  # shares a part of its prompt with requests that crash endpoints
    sent: float = 0.0  # the last byte was written
    status: int = 0  # final answer; 0: none
    answered: float = 0.0
    gone: float = 0.0  # the caller closed its connection
    arrivals: int = 0  # at endpoints, with those that they refused
    runs: list = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class Run:
    endpoint: str
    service: str
    at: float
    stamp: str
    body: bytes = b""  # what the endpoint sent
    status: int = 0
    complete: bool = False
    broken: bool = False  # the endpoint or a fault on its link broke off
    ended: float = 0.0


@dataclasses.dataclass
class Configuration:
    config: dict
    sent: float
    acknowledged: float = None  # stays the first one if a restore of the store loses it


@dataclasses.dataclass
class NamedRate:
    """The rates that an endpoint has named, and the requests from machines that it had told."""

    since: float
    rates: list = dataclasses.field(default_factory=list)  # (time, rate)
    told: dict = dataclasses.field(default_factory=dict)  # machine -> time
    arrivals: collections.deque = dataclasses.field(default_factory=collections.deque)  # (time, target)

    def allowed(self, now):
        """Requests in the window that ends now, by the highest rate named in it."""
        before = [rate for at, rate in self.rates if at <= now - RATE_WINDOW - RATE_NEWS][-1:]
        within = [rate for at, rate in self.rates if at > now - RATE_WINDOW - RATE_NEWS]
        return RATE_FACTOR * RATE_WINDOW * max(before + within) + RATE_SLACK


class Ledger:
    def __init__(self, log, begun):
        self.log = log
        self.crashes = collections.defaultdict(list)  # times, by path or part
        self.late_sends = collections.Counter()  # by path or part
        self.sound = collections.Counter()  # requests with the shared part, by whether they are refused for it
        self.begun = begun
        self.requests = {}
        self.findings = []
        self.counts = collections.Counter()
        self.disturbed = collections.defaultdict(list)  # name -> [[from, to or None, kind]]
        self.configs = []  # Configuration, as sent
        self.shown = collections.defaultdict(list)  # (entry, process) -> [(time, index of the oldest configuration it may go by)]
        self.withdrawn = {}  # key -> acknowledged at
        self.left = {}  # endpoint id -> its leaving was acknowledged at
        self.arrivals = collections.defaultdict(list)  # service -> [(time, is a repeat)]
        self.demand = collections.defaultdict(list)  # service -> [time sent]
        self.quota_runs = collections.defaultdict(list)  # account -> [time run]
        self.named_rates = {}  # endpoint id -> NamedRate
        self.evacuations = evacuations.Evacuations(self)
        self.denied = 0
        self.denials = []  # requests answered 401, 403 or 404

    # Faults and what they excuse.

    def begin(self, name, kind):
        record = [time.monotonic(), None, kind]
        self.disturbed[name].append(record)
        self.log(f"fault {kind} on {name}")
        return record

    def end(self, record):
        record[1] = time.monotonic()

    def is_calm(self, names, since, until, allowed=()):
        """No fault on any of the names in the time given, nor STABLE seconds before it."""
        for name in names:
            for start, stop, kind in self.disturbed[name]:
                if kind in allowed:
                    continue
                if start <= until and (stop is None or stop >= since - STABLE):
                    return False
        return True

    def in_touch(self, entry, since, until):
        return self.is_calm((entry, "store", "all"), since, until, ("config",))

    def find(self, promise, text):
        self.findings.append((promise, text))
        if len(self.findings) <= MOST_FINDINGS:
            self.log(f"FINDING {promise}: {text}")

    # The configuration.

    def send_config(self, config):
        self.configs.append(Configuration(config, time.monotonic()))

    def put_config(self, config):
        """The store acknowledged a configuration that was sent."""
        now = time.monotonic()
        held = {key for row in self.configs for tenant in row.config["tenants"] for key in tenant["api-keys"]}
        holds = {key for tenant in config["tenants"] for key in tenant["api-keys"]}
        for key in held:
            if key not in holds:
                self.withdrawn.setdefault(key, now)
            else:
                self.withdrawn.pop(key, None)
        next(row for row in self.configs if row.config is config).acknowledged = now

    def may_be_in_force(self, since, until):
        """Configurations that an entry in touch may go by for a request of that time."""
        found = []
        for index, row in enumerate(self.configs):
            replaced = self.configs[index + 1].acknowledged if index + 1 < len(self.configs) else None
            is_over = replaced is not None and replaced + CONFIG_APPLY + DENIED_SLACK < since
            if row.sent <= until and not is_over:
                found.append(row.config)
        return found

    @staticmethod
    def services_of(config, route):
        for row in config["routes"]:
            if row["name"] == route:
                return {row["service"]}
        return set()

    @staticmethod
    def tenant_of(config, key):
        for tenant in config["tenants"]:
            if key in tenant["api-keys"]:
                return tenant["name"]
        return None

    def allows(self, config, request):
        return self.services_of(config, request.route) and self.tenant_of(config, request.key) is not None

    def check_regress(self, request, now, how, fits):
        """One process of an entry goes by no older configuration once an endpoint has seen a newer one's effect."""
        slack = DOWNGRADE_SLACK * (1 if self.is_calm((request.entry, "all"), request.sent, now, ("config",)) else SLOWED)
        shown = self.shown[request.entry, request.process]
        least = max((index for at, index in shown if at + slack < request.sent), default=0)
        fitting = [index for index, row in enumerate(self.configs) if index >= least and fits(row.config)]
        if fitting:
            return min(fitting)
        version = self.configs[least].config["version"]
        self.find("CONFIG", f"{request.id} on {request.route} {how} by {request.entry}, which has gone by {version}: only an older one allows it")
        return None

    # What endpoints see.

    def on_arrival(self, endpoint, service, domain, head, method, path, body, is_run, stamp, is_early=False):
        """A request reached an endpoint; returns its Run if it runs."""
        now = time.monotonic()
        request = self.requests.get(head.get("request-id", ""))
        if request is None:
            self.find("UNASKED", f"{endpoint} got {method} {path} with id {head.get('request-id')}")
            return None
        expected = request.body[: len(body)] if is_early else request.body
        if (method, path, body) != (request.method, request.path, expected):
            self.find("UNASKED", f"{request.id} reached {endpoint} changed: {method} {path} {len(body)} bytes")
        if "authorization" in head:
            self.find("UNASKED", f"{request.id} reached {endpoint} with its key")
        is_long = int(head.get("deadline-ms", "0")) > (request.deadline - now) * 1000 + 500
        if is_long and self.in_touch(request.entry, request.sent or now, now):
            self.find("BUDGET", f"{request.id} has {head.get('deadline-ms')} ms at {endpoint}, more than is left")
        culprit = self.culprit(head, path, body)
        if culprit is not None:
            self.check_crashing(request, culprit, endpoint, now)
        self.arrivals[service].append((now, request.arrivals > 0))
        request.arrivals += 1
        self.evacuations.check(request, endpoint, domain, now)
        left = self.left.get(endpoint)
        if left is not None and request.sent > left and now > left + LEAVING:
            # Who has learnt of it is bound also while the store is in trouble later.
            has_learnt = self.in_touch(request.entry, left, left + LEAVING)
            if has_learnt and self.is_calm((request.entry, "all"), left, now, ("config",)) and not request.gone:
                self.find("DRAIN", f"{request.id} reached {endpoint} {now - left:.2f} s after it said it leaves, from {request.entry}")
        if not is_run:
            return None
        self.check_run(request, endpoint, service, head, now)
        run = Run(endpoint, service, now, stamp)
        request.runs.append(run)
        return run

    def on_rest(self, endpoint, request_id, body):
        """All that came as the body of a request that was answered early."""
        request = self.requests.get(request_id)
        if request is None or not request.body.startswith(body):
            self.find("UNASKED", f"{request_id} reached {endpoint} with other bytes where the rest of its body is due")

    def on_rate(self, endpoint, rate):
        if rate is None:
            self.named_rates.pop(endpoint, None)
            return
        now = time.monotonic()
        self.named_rates.setdefault(endpoint, NamedRate(now)).rates.append((now, rate))
        self.log(f"{endpoint} names {rate} requests a second")

    def on_rate_told(self, endpoint, machine):
        if endpoint in self.named_rates:
            self.named_rates[endpoint].told.setdefault(machine, time.monotonic())

    def on_limited(self, endpoint, machine, target):
        """Any request, status reports too, at an endpoint that names a rate."""
        now = time.monotonic()
        named = self.named_rates.get(endpoint)
        if named is None or now < named.told.get(machine, now) + RATE_NEWS:
            return
        if not self.is_calm((machine, "all"), now, now, ("config", "SIGHUP")):
            return
        named.arrivals.append((now, f"{target} from {machine}"))
        while named.arrivals[0][0] < now - RATE_WINDOW:
            named.arrivals.popleft()
        self.counts["most at a named rate, in 100 of allowed"] = max(
            self.counts["most at a named rate, in 100 of allowed"], int(100 * len(named.arrivals) / named.allowed(now))
        )
        if now >= named.since + STABLE and len(named.arrivals) > named.allowed(now):
            reports = sum("/v1/report" in text for _, text in named.arrivals)
            self.find("LIMIT", f"{endpoint} named {named.rates[-1][1]} a second and got {len(named.arrivals)} requests in "
                      f"{RATE_WINDOW:.0f} s, {reports} of them reports; allowed {named.allowed(now):.1f}")

    @staticmethod
    def culprit(head, path, body):
        """What in a request crashes endpoints: the request itself, known by its path, or a part of its prompt."""
        if body == CRASH_BODY:
            return path
        return CRASH_PART if CRASH_PART in head.get("prompt-prefix", "") else None

    def on_crash(self, culprit, endpoint):
        self.crashes[culprit].append(time.monotonic())
        self.counts[f"crashes under {culprit}"] += 1
        self.end(self.begin("all", CRASH_UNDER))
        self.log(f"{culprit} crashes {endpoint}")

    def bound_since(self, culprit):
        """When hardly any more of the culprit may reach endpoints; None: not yet."""
        crashes = self.crashes[culprit]
        most = MOST_PART_CRASHES if culprit == CRASH_PART else MOST_CRASHES
        return crashes[most - 1] + STABLE if len(crashes) >= most else None

    def check_crashing(self, request, culprit, endpoint, now):
        since = self.bound_since(culprit)
        names = (request.entry, "store", "all")
        if since is not None and (request.sent or now) > since and self.is_calm(names, now, now, (CRASH_UNDER,)):
            self.late_sends[culprit] += 1
            if self.late_sends[culprit] > MOST_LATE_SENDS:
                self.find("BUDGET", f"{culprit} reached {endpoint} after {len(self.crashes[culprit])} crashes")

    def check_sound(self, request, status, body):
        """Sound requests are served though crashing ones share a part of their prompt."""
        since = self.bound_since(CRASH_PART)
        if not request.is_sound or since is None or request.sent < since + STABLE:
            return
        self.sound["refused" if status == 503 and b"suspect" in body else "other"] += 1
        refused, total = self.sound["refused"], self.sound.total()
        if total >= FEWEST_SOUND and 2 * refused > total:
            self.find("LOST", f"{refused} of {total} sound requests refused for a part that crashing ones share")

    def check_run(self, request, endpoint, service, head, now):
        kind = request.route.split("-")[0]
        if request.runs and kind != "safe":
            self.find("TWICE", f"{request.id} on {request.route} ran at {request.runs[-1].endpoint} and at {endpoint}")
        if request.status in PROMISES:
            self.find("REFUSED", f"{request.id} was answered {request.status} and runs at {endpoint}")
        if request.gone and now > request.gone + 0.5:
            self.counts["gone"] += 1
        allowed = set().union(*(self.services_of(row.config, request.route) for row in self.configs))
        if service not in allowed:
            self.find("ROUTE", f"{request.id} on {request.route} ran at {endpoint} of {service}")
        in_force = self.may_be_in_force(request.sent or now, now)
        if self.in_touch(request.entry, request.sent or now, now):
            if not any(service in self.services_of(config, request.route) for config in in_force):
                self.find("CONFIG", f"{request.id} on {request.route} ran at {service}, as only an older configuration allows")
        oldest = self.check_regress(
            request, now, f"ran at {service}",
            lambda config: service in self.services_of(config, request.route) and self.tenant_of(config, request.key) is not None,
        )  # fmt: skip
        shown = self.shown[request.entry, request.process]
        if oldest is not None and (not shown or oldest > shown[-1][1]):
            shown.append((now, oldest))
        tenants = {self.tenant_of(row.config, request.key) for row in self.configs} - {None}
        if head.get("tenant") not in tenants:
            self.find("UNASKED", f"{request.id} runs for {head.get('tenant')}, its key belongs to {tenants}")
        withdrawn = self.withdrawn.get(request.key)
        if withdrawn is not None and request.sent > withdrawn + WITHDRAW_KEY:
            self.find("CONFIG", f"{request.id} runs {request.sent - withdrawn:.2f} s after its key was withdrawn, from {request.entry}")
        self.quota_runs[head.get("tenant")].append((now, request.sent or now))
        self.counts["runs"] += 1

    # What callers see.

    def on_sent(self, request):
        request.sent = time.monotonic()
        for config in self.may_be_in_force(request.sent, request.sent):
            for service in self.services_of(config, request.route):
                self.demand[service].append(request.sent)

    def on_answer(self, request, status, head, body, is_whole):
        request.status = status
        request.answered = time.monotonic()
        self.counts[status] += 1
        self.check_sound(request, status, body)
        echo = head.get("request-id")
        if echo is not None and echo != request.id:
            self.find("MIXED", f"{request.id} got the answer of {echo}")
            return
        stamp = head.get("response-stamp")
        run = next((run for run in request.runs if run.stamp == stamp), None)
        if 200 <= status < 300:
            if run is None:
                self.find("MIXED", f"{request.id} succeeded without the proof of a run")
            elif is_whole and body != run.body:
                self.find("MIXED", f"{request.id} got {len(body)} bytes {digest(body)} of {len(run.body)} {digest(run.body)}")
            elif is_whole and not run.complete:
                self.find("MIXED", f"{request.id} looks whole, its endpoint broke off")
            elif not is_whole and not run.body.startswith(body):
                self.find("ORDER", f"{request.id} got events that its endpoint did not send in that order")
            self.counts["good" if is_whole else "cut"] += 1
            return
        if stamp is not None and (run is None or run.status != status):
            self.find("MIXED", f"{request.id} failed with {status} and a proof of another answer")
        is_once = not request.route.startswith("safe-")
        if (stamp is None or is_once) and status in PROMISES and request.runs:
            self.find("REFUSED", f"{request.id} on {request.route} was answered {status} and ran at {request.runs[-1].endpoint}")
        if status in (401, 403, 404):
            self.check_denied(request, status)
        elif stamp is None and 300 <= status < 500 and status not in PROMISES:
            self.find("DENIED", f"{request.id} was answered {status}")

    def check_denied(self, request, status):
        self.check_regress(request, request.answered, f"was answered {status}", lambda config: not self.allows(config, request))
        self.denials.append(request)
        if not all(self.allows(config, request) for config in self.may_be_in_force(request.sent - 1, request.answered)):
            return
        if self.in_touch(request.entry, request.sent, request.answered):
            self.find("DENIED", f"{request.id} on {request.route} was answered {status} by {request.entry}")
        else:
            self.denied += 1

    def on_lost(self, request, was_read_from):
        """The connection ended without a whole answer."""
        now = time.monotonic()
        self.counts["lost"] += 1
        planned = ("SIGTERM", "SIGHUP", "config")
        if not self.is_calm((request.entry, "store", "all"), request.sent, now, planned):
            return
        if any(run.broken or not run.complete for run in request.runs if run.ended) or now >= request.deadline - 0.2:
            return
        if request.runs or now > request.sent + 0.2 or was_read_from:
            runs = ", ".join(f"{run.endpoint} at {run.at - request.sent:.3f}" for run in request.runs)
            self.find("LOST", f"{request.id} on {request.route} lost by {request.entry} after {now - request.sent:.3f} s; runs: {runs or 'none'}")

    # At the end of a run.

    def finish(self):
        if self.counts["gone"] > 10:
            self.find("GONE", f"{self.counts['gone']} requests ran over half a second after their caller had left")
        if self.denied > 10:
            self.find("DENIED", f"{self.denied} requests were denied by entries out of touch")
        wrong = [request.id for request in self.denials if all(self.allows(row.config, request) for row in self.configs)]
        if len(wrong) > MOST_DENIED + DENIED_SHARE * len(self.requests):
            self.find("DENIED", f"{len(wrong)} requests were denied that every configuration allows: {wrong[:5]}")
        for service, rows in self.arrivals.items():
            self.check_budget(service, [at for at, is_repeat in rows if is_repeat])
        for row in self.configs[-1:]:
            for tenant in row.config["tenants"]:
                if tenant.get("rate-per-s"):
                    self.check_quota(tenant)

    def check_budget(self, service, repeats):
        demand = self.demand[service]
        for index, start in enumerate(repeats):
            count = sum(1 for at in repeats[index:] if at <= start + BUDGET_WINDOW)
            asked = max(
                sum(1 for at in demand if start - back <= at <= start - back + BUDGET_WINDOW)
                for back in (0, BUDGET_WINDOW / 2, BUDGET_WINDOW)
            )
            if count > BUDGET_RATIO * asked + BUDGET_EXTRA:
                self.find("BUDGET", f"{count} repeats at {service} within {BUDGET_WINDOW} s for {asked} requests")
                return

    def check_quota(self, tenant):
        runs = self.quota_runs[tenant["name"]]
        bound = (tenant["rate-per-s"] * QUOTA_WINDOW + tenant["burst"]) * (1 + QUOTA_OVERAGE) + QUOTA_SLACK
        worst, worst_since = 0, 0.0
        for index, (until, _) in enumerate(runs):
            since = until - QUOTA_WINDOW
            window = itertools.takewhile(lambda run: run[0] >= since, reversed(runs[: index + 1]))
            count = sum(1 for _, sent in window if sent >= since)
            if count > worst:
                worst, worst_since = count, since
        self.counts["quota-worst"] = worst
        if worst > bound:
            at = worst_since - self.begun
            self.find("QUOTA", f"{worst} requests of {tenant['name']} ran within {QUOTA_WINDOW} s from {at:.2f}; {bound:.0f} may")
            steps = collections.Counter(int((run - worst_since) * 4) for run, _ in runs if run >= worst_since)
            self.log("runs in each quarter of a second from there: " + " ".join(str(steps[step]) for step in range(32)))
