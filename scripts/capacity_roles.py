"""The content of docs/CAPACITY.md: sizes, roles, budgets and failures.

A cell is a ``ScaledMeasurement``, a text that is computed from the sizes and intervals
below, or None, which is rendered as not measured.
"""

from dataclasses import dataclass, field

from poplarrun.hosts import MAX_POLL_INTERVAL_S, SHARED_POLL_INTERVAL_S

HOSTS = 390
ZONES = 7
REGIONS = 2
ENDPOINTS = 830
VERSIONS = 26
REQUESTS_PER_S = 3500
TOKENS_PER_S = 1_500_000
TOKEN_INTERVAL_S = 0.042
CHANGES_PER_DAY = 910
SECONDS_PER_DAY = 86_400
ACCOUNTS = 100
HOST_REQUESTS_PER_S = REQUESTS_PER_S / HOSTS
HOST_TOKENS_PER_S = TOKENS_PER_S / HOSTS
HOST_STREAMS = HOST_TOKENS_PER_S * TOKEN_INTERVAL_S
HOSTS_PER_ZONE = HOSTS / ZONES
# Each engine is polled by one host of its zone. In addition each host polls the engine
# with the oldest load report.
POLLED_ENDPOINTS = ENDPOINTS / HOSTS + 1
# Intervals of the tasks in poplarrun/server/_host.py.
LOAD_POLL_INTERVAL_S = 0.25
LOG_STREAMS_FOLLOWED = 2
HOST_LIST_POLL_INTERVAL_S = 0.5
# A roll-out's trial: its fraction of the sessions, the configured time between the requests of
# a session, and the encoded sizes of a query to an owner and of its answer.
TRIAL_FRACTION = 0.08
SESSION_REQUEST_INTERVAL_S = 6.5
SESSION_OWNERS = 3
SESSION_MESSAGE_BYTES = 43 + 8
TRIAL_REQUESTS_PER_S = HOST_REQUESTS_PER_S * TRIAL_FRACTION


@dataclass(frozen=True)
class Size:
    """A size of the system as one host sees it, and the origin of its value."""

    value: float
    origin: str


SIZES = {
    "hosts": Size(HOSTS, "given"),
    "endpoints": Size(ENDPOINTS, "given, all endpoints"),
    "versions": Size(VERSIONS, "given"),
    "requests/s": Size(HOST_REQUESTS_PER_S, f"{REQUESTS_PER_S} requests/s over {HOSTS} hosts"),
    "tokens/s": Size(HOST_TOKENS_PER_S, f"{TOKENS_PER_S} tokens/s over {HOSTS} hosts"),
    "client accounts": Size(ACCOUNTS, "assumed: about 10 today, not given"),
    "publications": Size(CHANGES_PER_DAY, "given, one day"),
    "polled engines": Size(POLLED_ENDPOINTS, "as polled endpoints"),
    "polled endpoints": Size(
        POLLED_ENDPOINTS, f"{ENDPOINTS} endpoints over {HOSTS} hosts, and one more each"
    ),
    "open streams": Size(HOST_STREAMS, f"tokens/s x {TOKEN_INTERVAL_S} s between tokens"),
}


@dataclass(frozen=True)
class ScaledMeasurement:
    """A reference to a measured slope, which is extrapolated, or a figure, times a factor."""

    bench: str
    name: str
    factor: float = 1.0
    unit: str = ""


Cell = ScaledMeasurement | str | None

# Membership, summaries and configuration across all zones, measured with 392 hosts.
MEMBERSHIP_BYTES = ScaledMeasurement("hosts", "bytes_both_ways_most_per_s_at_392_in_7_zones")
MEMBERSHIP_CORES = ScaledMeasurement(
    "hosts", "core_percent_at_392_in_7_zones", factor=0.01, unit="cores"
)
CONFIGURATION_DELAY = ScaledMeasurement("hosts", "in_force_s_at_392_in_7_zones")
MEMBERSHIP_MEMORY = ScaledMeasurement(
    "hosts", "memory_kb", factor=0.001, unit="MB of Python objects"
)


@dataclass(frozen=True)
class Role:
    """A role of a host and its cost per resource."""

    name: str
    mechanism: str
    nearest_limit: str
    state: Cell = None
    messages: Cell = None
    bytes_per_s: Cell = None
    processor: Cell = None
    memory: Cell = None
    appends: Cell = None

    def list_rows(self) -> dict[str, Cell]:
        """Return the rows of the role's table."""
        return {
            "State": self.state,
            "Messages a second": self.messages,
            "Bytes a second": self.bytes_per_s,
            "Processor": self.processor,
            "Memory": self.memory,
            "Log appends a second, all hosts": self.appends,
            "Mechanism": self.mechanism,
            "Nearest limit": self.nearest_limit,
        }


@dataclass(frozen=True)
class Budget:
    """A resource limit of one host and the measurements that add up to its use."""

    name: str
    limit: float
    unit: str
    parts: dict[str, ScaledMeasurement] = field(default_factory=dict)

    def format_verdict(self, total: float, missing: list[str]) -> str:
        """Return a text on whether the limit holds and which fraction or multiple of it is used."""
        if total > self.limit:
            return f"does not hold: {total / self.limit:.1f} times the limit"
        if missing or not self.parts:
            return f"not settled: not measured {', '.join(missing) or 'at all'}"
        return f"holds: {total / self.limit:.0%} of the limit"


@dataclass(frozen=True)
class Failure:
    """A failure and the load, messages and time that it causes."""

    event: str
    load: str
    messages: str
    time: str


# Processor time of the host that sends a zone's engine orders, measured with its zone's engines.
ENGINE_CHECK_CORES = ScaledMeasurement(
    "orders", "looks at 119 engines every 5 s", factor=0.01, unit="cores"
)
ENGINE_PLAN_CORES = ScaledMeasurement(
    "orders", "plan, 119 engines, a zone's share, at a plan a second", factor=0.01, unit="cores"
)
ENGINE_CHECK_INTERVAL_S = 5.0
LEASE_RENEWAL_INTERVAL_S = 4.0

LOAD_POLLS_PER_S = POLLED_ENDPOINTS / LOAD_POLL_INTERVAL_S
LOG_READS_PER_S = LOG_STREAMS_FOLLOWED / min(MAX_POLL_INTERVAL_S, SHARED_POLL_INTERVAL_S * HOSTS)

# One host of each zone reads each of two topics of the store by long polls, whose timeout
# follows from poplarrun/peers/_read_schedule.py and the operators' propagation bound of 2 s.
LONG_POLL_TIMEOUT_S = 0.8
READS_PER_S = 2 * ZONES / LONG_POLL_TIMEOUT_S

ROLES = (
    Role(
        "Gateway (choice of an endpoint, on the users' platform)",
        "each request compares at most 48 randomly drawn endpoints and the prefix's owner; "
        "one loop transfers and decides",
        "finding the usable endpoints and the owner among all of a service",
        state="prompt parts of 45 s, at most 4,000 an endpoint",
        messages=f"{HOST_REQUESTS_PER_S:.1f} requests, {HOST_TOKENS_PER_S:,.0f} token events",
        processor=ScaledMeasurement(
            "gateway", "choice_by_endpoints", factor=HOST_REQUESTS_PER_S * 1e-6, unit="cores"
        ),
        appends="0: no record per request",
    ),
    Role(
        "Gateway (digests between hosts)",
        "pynng, msgspec; two aggregators a zone, by rendezvous hashing, sum loads and evidence",
        "the sum over all endpoints, 18 bytes each, that an aggregator sends to each host of its "
        "zone: 18 KB/s a host at 830 endpoints, which the bench's two endpoints don't show",
        state="the sum of each zone, the list of all hosts",
        messages=ScaledMeasurement("peers", "messages_by_hosts", unit="messages/s"),
        bytes_per_s=ScaledMeasurement(
            "peers", "bytes_by_hosts", unit="bytes/s with two endpoints named"
        ),
        processor=ScaledMeasurement("peers", "core_by_hosts", unit="cores"),
        appends=f"1 a start; {READS_PER_S:.1f} reads a second of 2,000 by two readers a zone",
    ),
    Role(
        "Gateway (sessions during a roll-out)",
        "three owners for each session, neighbours on a circle of the known hosts; a stop and a "
        "start take 12 messages each",
        "connections: each query may go to any host, and 128 are kept open",
        state=f"{TRIAL_REQUESTS_PER_S * SESSION_REQUEST_INTERVAL_S * SESSION_OWNERS:.0f} "
        "sessions in memory",
        messages=f"{TRIAL_REQUESTS_PER_S * SESSION_OWNERS * 2:.1f} "
        "queries and answers during a trial",
        bytes_per_s=f"{TRIAL_REQUESTS_PER_S * SESSION_OWNERS * SESSION_MESSAGE_BYTES:.0f} bytes/s",
        appends="0: nothing of a session is stored",
    ),
    Role(
        "Entry (callers' data path)",
        "CherryPy's threads carry bytes, one asyncio loop decides, urllib3 to endpoints",
        "the interpreter lock of one process: one core carries all threads of a host",
        state=f"{HOST_STREAMS:.0f} open streams, 2,000 explanations",
        messages=f"{HOST_REQUESTS_PER_S:.1f} requests, {HOST_TOKENS_PER_S:,.0f} token events",
        processor=ScaledMeasurement("path", "cores_by_tokens"),
        memory=ScaledMeasurement("path", "memory_by_streams"),
        appends="0: no record per request",
    ),
    Role(
        "Entry (knowing the endpoints)",
        f"one host of a zone polls an engine's load every {LOAD_POLL_INTERVAL_S} s "
        "and shares it; choice by corrected load and prefix",
        "bytes of the reports that are passed on, which grow with the endpoints",
        state=ScaledMeasurement("load", "endpoint table"),
        messages=f"{LOAD_POLLS_PER_S:.1f} load reports polled",
        processor=ScaledMeasurement("path", "cores_by_endpoints"),
        memory=ScaledMeasurement("path", "memory_by_endpoints"),
        appends="0",
    ),
    Role(
        "Configuration",
        "the hosts take turns to read the log's stream, announce what came, and fold it; "
        "publications are whole small records",
        f"{HOSTS} hosts x {LOG_READS_PER_S:g} log reads a second, roll-outs included",
        state=ScaledMeasurement(
            "config", "record_by_accounts", unit="bytes, the document in force"
        ),
        messages=f"{LOG_READS_PER_S:g} log reads, "
        f"{1 / HOST_LIST_POLL_INTERVAL_S:.0f} host list reads",
        bytes_per_s=ScaledMeasurement(
            "config",
            "record_by_accounts",
            factor=CHANGES_PER_DAY / SECONDS_PER_DAY,
            unit="bytes/s, without the empty reads",
        ),
        processor=ScaledMeasurement(
            "config",
            "fold_by_accounts",
            factor=CHANGES_PER_DAY / SECONDS_PER_DAY / 1000,
            unit="cores",
        ),
        appends=f"{CHANGES_PER_DAY / SECONDS_PER_DAY:.3f} ({CHANGES_PER_DAY} changes a day)",
    ),
    Role(
        "Rollout controller",
        "one owner a version by rendezvous hashing; always-valid tests over merged summaries",
        "the evidence of every host has to reach the controller",
        state=ScaledMeasurement("versions", "evidence summary of a host, 3 classes"),
        messages="one summary a second a host to its zone, merged between zones",
        bytes_per_s="at most 2,000, the bound of all summaries of a host",
        processor=ScaledMeasurement(
            "versions", "choice, median", factor=HOST_REQUESTS_PER_S / 1e6, unit="cores"
        ),
    ),
    Role(
        "Shard owner of claims",
        "32 streams by hash of the key; the owner group-commits, the fold decides",
        "32 shards x 5 group commits a second = 160 appends a second while all are busy; the rate "
        "of keyed operations is not given: 1 a second a host is assumed",
        state="keys of one hour",
        bytes_per_s=ScaledMeasurement(
            "outcomes", "claims_busiest_stream", unit="bytes/s, busiest stream"
        ),
        processor=ScaledMeasurement("outcomes", "claims_cpu", factor=1e-6, unit="cores"),
        appends=ScaledMeasurement("outcomes", "claims_appends", unit="appends/s"),
    ),
    Role(
        "Shard owner of billing",
        "open bills on two peers, batches to sharded streams, the fold drops repeats of an id",
        "bytes of the copies to peers; appends were measured at 1 bill a second a host only",
        bytes_per_s=ScaledMeasurement(
            "outcomes", "bills_sent", factor=HOST_REQUESTS_PER_S, unit="bytes/s a host"
        ),
        processor=ScaledMeasurement(
            "outcomes", "bills_cpu", factor=HOST_REQUESTS_PER_S / 1e6, unit="cores"
        ),
        appends=ScaledMeasurement("outcomes", "bills_appends", unit="appends/s at 1 bill/s a host"),
    ),
    Role(
        "Snapshot writer",
        "the fold's state is published again well before the retention horizon",
        "a start without a snapshot folds a whole day of publications: see the slope "
        "start_by_publications",
        state=ScaledMeasurement(
            "config", "record_by_accounts", unit="bytes, the document in force"
        ),
        processor=ScaledMeasurement("config", "fold_by_accounts", unit="ms for each snapshot read"),
    ),
    Role(
        "Sender of engine orders (one host of a zone)",
        "one lease a zone, whose record's offset is the fencing number; an order is an engine's "
        "whole set of versions; the sender reads each engine in turn and orders again",
        "plans and checks grow with the engines of a zone: plans are paced to 1% of a core",
        state=f"what is wanted of {ENDPOINTS / ZONES:.0f} engines",
        messages=f"{ENDPOINTS / ZONES / ENGINE_CHECK_INTERVAL_S:.0f} checks of engines",
        bytes_per_s=ScaledMeasurement(
            "orders", "demand summary of a host, all 26 versions", unit="bytes a summary of a host"
        ),
        processor=ENGINE_CHECK_CORES,
        memory=None,
        appends=f"{ZONES / LEASE_RENEWAL_INTERVAL_S:.2f}: "
        f"a renewal each {LEASE_RENEWAL_INTERVAL_S:g} s a zone",
    ),
    Role(
        "Membership in a zone",
        "probes and suspicion between the hosts of one zone, announcements to three others",
        "announcements grow with the fleet's changes, not with its size squared",
        state=f"{HOSTS_PER_ZONE:.0f} members",
        messages=None,
        bytes_per_s=MEMBERSHIP_BYTES,
        processor=MEMBERSHIP_CORES,
        memory=MEMBERSHIP_MEMORY,
        appends="0",
    ),
    Role(
        "Link between zones and regions",
        "a few hosts of each zone carry its digest to the other zones",
        "a zone's digest grows with its hosts; the budget of summaries is 2,000 bytes a second",
        state=f"digests of the {ZONES - 1} other zones",
        bytes_per_s="part of the figure of membership, which is measured over all zones",
        processor="part of the figure of membership",
        memory="part of the figure of membership",
        appends="0",
    ),
    Role(
        "Operators' tool",
        "folds the configuration stream itself; asks hosts for their status",
        f"`status` asks every host it is given, {HOSTS} at worst, one after the other",
        messages="one read of the stream and one append a publication",
        appends=f"{CHANGES_PER_DAY / SECONDS_PER_DAY:.3f}, the same as configuration",
    ),
)

BUDGETS = (
    Budget(
        "Control: processor (4.8% of a core)",
        0.048,
        "cores",
        {
            "knowing the endpoints": ScaledMeasurement("path", "cores_by_endpoints"),
            "choice of versions": ScaledMeasurement(
                "versions", "choice, median", factor=HOST_REQUESTS_PER_S / 1e6
            ),
            "choice of endpoints": ScaledMeasurement(
                "load", "decision time", factor=HOST_REQUESTS_PER_S / 1e6
            ),
            "configuration": ScaledMeasurement(
                "config", "fold_by_accounts", factor=CHANGES_PER_DAY / SECONDS_PER_DAY / 1000
            ),
            "claims": ScaledMeasurement("outcomes", "claims_cpu", factor=1e-6),
            "billing": ScaledMeasurement("outcomes", "bills_cpu", factor=HOST_REQUESTS_PER_S / 1e6),
            "membership": MEMBERSHIP_CORES,
            "checks of engines (the sender of orders)": ENGINE_CHECK_CORES,
            "plans (the sender of orders)": ENGINE_PLAN_CORES,
        },
    ),
    Budget(
        "Control: memory",
        128.0,
        "MB",
        {
            "process with its own endpoints": ScaledMeasurement("path", "memory_by_endpoints"),
            "endpoint table": ScaledMeasurement("load", "endpoint table", factor=1e-6),
            "membership": MEMBERSHIP_MEMORY,
        },
    ),
    Budget(
        "Control: bytes a second (9 KB)",
        9000.0,
        "bytes/s",
        {
            "load summary of a host, once a second": ScaledMeasurement("load", "load summary"),
            "configuration": ScaledMeasurement(
                "config", "record_by_accounts", factor=CHANGES_PER_DAY / SECONDS_PER_DAY
            ),
            "billing": ScaledMeasurement("outcomes", "bills_sent", factor=HOST_REQUESTS_PER_S),
            "membership": MEMBERSHIP_BYTES,
        },
    ),
    Budget(
        "Configuration in force",
        11.0,
        "s",
        {"in force": CONFIGURATION_DELAY},
    ),
    Budget(
        "Log appends, all hosts (several hundred; 300 assumed)",
        300.0,
        "appends/s",
        {
            "claims at 1 keyed call/s a host": ScaledMeasurement("outcomes", "claims_appends"),
            "billing at 1 bill/s a host": ScaledMeasurement("outcomes", "bills_appends"),
            "roll-outs": ScaledMeasurement("versions", "appends_by_versions"),
        },
    ),
)

INTRODUCTION = f"""
# Capacity at the two-year size

Rendered by `make capacity` from `bench/measurements/*.jsonl`; don't edit it by hand. The size is
{HOSTS} hosts with {ENDPOINTS} endpoints, {REQUESTS_PER_S:,} requests and {TOKENS_PER_S:,} tokens a
second, {VERSIONS} models and versions, {REGIONS} regions with {ZONES} zones, {CHANGES_PER_DAY}
changes of configuration a day. Every figure is extrapolated from a measured slope (last table:
points, fit, standard error, command; the commit that holds this page holds the measurement files),
or computed from the sizes and from intervals in the code. A cell without a slope says
"not measured". The figures come from one busy virtual machine with small simulated
services: they show how cost grows, not what a given host will spend.
"""

LIMITS = f"""
## What does not hold, and what would change it

- **Shares of account limits.** A host reports 66 bytes an account with four limits. With ten
  accounts the summaries of a zone's {HOSTS_PER_ZONE:.0f} hosts need most of a minute at a thousand
  bytes a second. Rounds then take that long, so shares only follow demand that changes over
  minutes. Possible change: report only shares that changed, and assign each account of a zone to a
  few of its hosts.
- **Log reads.** {HOSTS} hosts that each read {LOG_STREAMS_FOLLOWED} streams every
  {MAX_POLL_INTERVAL_S:g} s make {HOSTS * LOG_READS_PER_S:,.0f} reads a second; whether the log \
serves
  so many is not given. One host reads a stream every {SHARED_POLL_INTERVAL_S} s and announces \
what came, so the
  others could read less often; they don't, because announcements can be lost.
- **Bytes.** The two largest parts are membership with its summaries, counted both ways at the
  busiest host, and the copies of open bills at two peers. Copies sent in batches, or smaller
  summaries, would reduce them.
- **Idle cost.** The intercept of `cores_by_endpoints` is the cost of a host without requests,
  including its polls of the log's streams, the host list, the rating service and its engines.
  Longer intervals, or one read for several streams, would reduce it.
- **Data path.** One process carries a host's streams under one interpreter lock. The slope of
  processor time by tokens shows how close {HOST_TOKENS_PER_S:,.0f} tokens a second come to a core.
"""

_EXTRA_REQUESTS_PER_S = HOST_REQUESTS_PER_S / (HOSTS_PER_ZONE - 1)
_ZONE_REQUESTS_PER_S = REQUESTS_PER_S / ZONES

FAILURES = (
    Failure(
        "One host fails (7 on an ordinary day)",
        f"{HOST_REQUESTS_PER_S:.1f} requests/s over the other {HOSTS_PER_ZONE - 1:.0f} hosts of "
        f"the zone, {_EXTRA_REQUESTS_PER_S:.2f} more each; {HOST_STREAMS:.0f} open "
        "streams break, and callers retry",
        "one announcement passes through the fleet; 32 claim shards and the roll-outs that it "
        "owned move",
        "about 4.5 s: suspicion of 3 s after probes of 0.5 to 1.5 s (periods in the code; see "
        "hosts)",
    ),
    Failure(
        "330 hosts restarted or replaced in a day",
        f"one every {SECONDS_PER_DAY / 330:.0f} s; a planned stop cuts off no stream",
        f"330 joins and 330 leaves: {660 / SECONDS_PER_DAY * 1000:.1f} announcements in 1000 s",
        "a stop waits up to 60 s for its streams; a start reads the configuration's stream",
    ),
    Failure(
        "A zone is lost (every other month)",
        f"{_ZONE_REQUESTS_PER_S:.0f} requests/s and {TOKENS_PER_S / ZONES:,.0f} tokens/s over "
        f"{HOSTS - HOSTS_PER_ZONE:.0f} hosts: {1 / (ZONES - 1):.0%} more each, "
        f"{HOST_TOKENS_PER_S * ZONES / (ZONES - 1):,.0f} tokens/s",
        f"{HOSTS_PER_ZONE:.0f} announcements in each other zone, in batches",
        "a zone is considered lost after 6 s (period in the code)",
    ),
    Failure(
        "All hosts of a zone lose their links to endpoints",
        f"{_ZONE_REQUESTS_PER_S:.0f} connections/s relayed by {HOSTS - HOSTS_PER_ZONE:.0f} hosts: "
        f"{_ZONE_REQUESTS_PER_S / (HOSTS - HOSTS_PER_ZONE):.1f}/s each, "
        f"{TOKENS_PER_S / ZONES / (HOSTS - HOSTS_PER_ZONE):,.0f} tokens/s (not measured)",
        "none between hosts but the relayed connections themselves; each host tries its own links "
        "once a second",
        "a first request finds the lost path within 0.1 s (period in the code)",
    ),
    Failure(
        "The link between the regions is lost (minutes)",
        "none: each region has its own hosts and endpoints",
        "digests between the regions stop; the region without the log refuses keyed operations",
        "configuration of the cut-off region stands still until the link is back",
    ),
)
