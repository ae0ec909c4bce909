"""What docs/CAPACITY.md says: sizes, roles, budgets and failures.

Cells are ``Measured``, extrapolated from a slope, or a text that is worked out
from the sizes and the periods below; None is written as not measured.
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
BETWEEN_TOKENS_S = 0.042
CHANGES_PER_DAY = 910
SECONDS_PER_DAY = 86_400
ACCOUNTS = 100
HOST_REQUESTS_PER_S = REQUESTS_PER_S / HOSTS
HOST_TOKENS_PER_S = TOKENS_PER_S / HOSTS
HOST_STREAMS = HOST_TOKENS_PER_S * BETWEEN_TOKENS_S
HOSTS_PER_ZONE = HOSTS / ZONES
# Each engine is polled by one host of its zone; each host polls one more, the one
# heard of least recently.
POLLED_ENDPOINTS = ENDPOINTS / HOSTS + 1
# Periods of the tasks of poplarrun/server/_host.py.
LOAD_POLL_S = 0.25
LOG_STREAMS_FOLLOWED = 2
HOST_LIST_POLL_S = 0.5
# A roll-out's trial: its share of the sessions, the operators' time between the requests of a
# session, and the encoded size of a question with its answer.
TRIAL_SHARE = 0.08
SESSION_S = 6.5
KEEPERS = 3
QUESTION_BYTES = 43 + 8
TRIED_REQUESTS_PER_S = HOST_REQUESTS_PER_S * TRIAL_SHARE


@dataclass(frozen=True)
class Size:
    """The value of a size at one host, and where it comes from."""

    value: float
    origin: str


SIZES = {
    "hosts": Size(HOSTS, "given"),
    "endpoints": Size(ENDPOINTS, "given, all runners"),
    "versions": Size(VERSIONS, "given"),
    "requests/s": Size(HOST_REQUESTS_PER_S, f"{REQUESTS_PER_S} requests/s over {HOSTS} hosts"),
    "tokens/s": Size(HOST_TOKENS_PER_S, f"{TOKENS_PER_S} tokens/s over {HOSTS} hosts"),
    "client accounts": Size(ACCOUNTS, "taken: about 10 today, not given"),
    "publications": Size(CHANGES_PER_DAY, "given, one day"),
    "polled engines": Size(POLLED_ENDPOINTS, "as polled endpoints"),
    "polled endpoints": Size(
        POLLED_ENDPOINTS, f"{ENDPOINTS} runners over {HOSTS} hosts, and one more each"
    ),
    "open streams": Size(HOST_STREAMS, f"tokens/s x {BETWEEN_TOKENS_S} s between tokens"),
}


@dataclass(frozen=True)
class Measured:
    """A measured slope, extrapolated, or a figure of that size itself, times a factor."""

    bench: str
    name: str
    factor: float = 1.0
    unit: str = ""


Cell = Measured | str | None

# Membership, summaries and configuration of all zones, measured at 392 hosts.
HOSTS_BYTES = Measured("hosts", "bytes_both_ways_most_per_s_at_392_in_7_zones")
HOSTS_CORES = Measured("hosts", "core_percent_at_392_in_7_zones", factor=0.01, unit="cores")
HOSTS_IN_FORCE = Measured("hosts", "in_force_s_at_392_in_7_zones")
HOSTS_MEMORY = Measured("hosts", "memory_kb", factor=0.001, unit="MB of Python objects")


@dataclass(frozen=True)
class Role:
    """One role of a host."""

    name: str
    mechanism: str
    nearest_limit: str
    state: Cell = None
    messages: Cell = None
    bytes_per_s: Cell = None
    processor: Cell = None
    memory: Cell = None
    appends: Cell = None

    def cells(self) -> dict[str, Cell]:
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
    """One line of the budget, with the slopes that add up to it."""

    name: str
    limit: float
    unit: str
    parts: dict[str, Measured] = field(default_factory=dict)

    def judge(self, total: float, missing: list[str]) -> str:
        """Say whether it holds, and by how much it does not."""
        if total > self.limit:
            return f"does not hold: {total / self.limit:.1f} times the limit"
        if missing or not self.parts:
            return f"not settled: not measured {', '.join(missing) or 'at all'}"
        return f"holds: {total / self.limit:.0%} of the limit"


@dataclass(frozen=True)
class Failure:
    """An event, and what it moves."""

    event: str
    load: str
    messages: str
    time: str


# Processor time of the host that sends a zone's orders: its share of the engines is measured.
ORDER_LOOKS = Measured("orders", "looks at 119 engines every 5 s", factor=0.01, unit="cores")
ORDER_PLANS = Measured(
    "orders", "plan, 119 engines, a zone's share, at a plan a second", factor=0.01, unit="cores"
)
ORDER_LOOK_S = 5.0
LEASE_RENEWAL_S = 4.0

LOAD_POLLS_PER_S = POLLED_ENDPOINTS / LOAD_POLL_S
LOG_READS_PER_S = LOG_STREAMS_FOLLOWED / min(MAX_POLL_INTERVAL_S, SHARED_POLL_INTERVAL_S * HOSTS)

# One host of each zone reads each of two topics of the store, by reads that it holds back;
# part of poplarrun/peers/_duty.py and the operators' bound of 2 s.
HELD_READ_S = 0.8
READS_PER_S = 2 * ZONES / HELD_READ_S

ROLES = (
    Role(
        "Gateway (choice of an endpoint, on the users' platform)",
        "each request weighs at most 48 drawn endpoints and the home; one loop carries and decides",
        "finding the usable endpoints and the home among all of a service",
        state="prompt parts of 45 s, at most 4,000 an endpoint",
        messages=f"{HOST_REQUESTS_PER_S:.1f} requests, {HOST_TOKENS_PER_S:,.0f} token events",
        processor=Measured(
            "gateway", "choice_by_endpoints", factor=HOST_REQUESTS_PER_S * 1e-6, unit="cores"
        ),
        appends="0: no record per request",
    ),
    Role(
        "Gateway (digests between hosts)",
        "pynng, msgspec; two relays a zone add up loads and evidence, found by rendezvous hashing",
        "the sum over all endpoints, 18 bytes each, that a relay sends to each host of its zone: "
        "18 KB/s a host at 830 endpoints, which the bench's two endpoints don't show",
        state="the sum of each zone, the list of all hosts",
        messages=Measured("peers", "messages_by_hosts", unit="messages/s"),
        bytes_per_s=Measured("peers", "bytes_by_hosts", unit="bytes/s with two endpoints named"),
        processor=Measured("peers", "core_by_hosts", unit="cores"),
        appends=f"1 a start; {READS_PER_S:.1f} reads a second of 2,000 by two readers a zone",
    ),
    Role(
        "Gateway (sessions during a roll-out)",
        "three keepers for each session, by rendezvous hashing over the hosts of the book",
        "connections: each question may go to any host, and 128 are kept open",
        state=f"{TRIED_REQUESTS_PER_S * SESSION_S * KEEPERS:.0f} held sessions",
        messages=f"{TRIED_REQUESTS_PER_S * KEEPERS * 2:.1f} questions and answers during a trial",
        bytes_per_s=f"{TRIED_REQUESTS_PER_S * KEEPERS * QUESTION_BYTES:.0f} bytes/s",
        appends="0: nothing of a session is stored",
    ),
    Role(
        "Entry (callers' data path)",
        "CherryPy's threads carry bytes, one asyncio loop decides, urllib3 to endpoints",
        "the interpreter lock of one process: one core carries all threads of a host",
        state=f"{HOST_STREAMS:.0f} open streams, 2,000 explanations",
        messages=f"{HOST_REQUESTS_PER_S:.1f} requests, {HOST_TOKENS_PER_S:,.0f} token events",
        processor=Measured("path", "cores_by_tokens"),
        memory=Measured("path", "memory_by_streams"),
        appends="0: no record per request",
    ),
    Role(
        "Entry (knowing the endpoints)",
        f"one host of a zone polls an engine's load every {LOAD_POLL_S} s and passes it on; choice "
        "by corrected load and prefix",
        "bytes of the reports that are passed on, which grow with the endpoints",
        state=Measured("load", "endpoint table"),
        messages=f"{LOAD_POLLS_PER_S:.1f} load reports polled",
        processor=Measured("path", "cores_by_endpoints"),
        memory=Measured("path", "memory_by_endpoints"),
        appends="0",
    ),
    Role(
        "Configuration",
        "the hosts take turns to read the log's stream, announce what came, and fold it; "
        "publications are whole small records",
        f"{HOSTS} hosts x {LOG_READS_PER_S:g} log reads a second, roll-outs included",
        state=Measured("config", "record_by_accounts", unit="bytes, the document in force"),
        messages=f"{LOG_READS_PER_S:g} log reads, {1 / HOST_LIST_POLL_S:.0f} host list reads",
        bytes_per_s=Measured(
            "config",
            "record_by_accounts",
            factor=CHANGES_PER_DAY / SECONDS_PER_DAY,
            unit="bytes/s, without the empty reads",
        ),
        processor=Measured(
            "config",
            "fold_by_accounts",
            factor=CHANGES_PER_DAY / SECONDS_PER_DAY / 1000,
            unit="cores",
        ),
        appends=f"{CHANGES_PER_DAY / SECONDS_PER_DAY:.3f} ({CHANGES_PER_DAY} changes a day)",
    ),
    Role(
        "Roll-out steward",
        "one owner a version by rendezvous hashing; always-valid tests over merged summaries",
        "the evidence of every host has to reach the steward",
        state=Measured("versions", "evidence summary of a host, 3 classes"),
        messages="one summary a second a host to its zone, merged between zones",
        bytes_per_s="at most 2,000, the bound of all summaries of a host",
        processor=Measured(
            "versions", "choice, median", factor=HOST_REQUESTS_PER_S / 1e6, unit="cores"
        ),
    ),
    Role(
        "Shard owner of claims",
        "32 streams by hash of the key; the owner group-commits, the fold decides",
        "32 shards x 5 group commits a second = 160 appends a second while all are busy; the rate "
        "of keyed operations is not given: 1 a second a host is taken",
        state="keys of one hour",
        bytes_per_s=Measured("outcomes", "claims_busiest_stream", unit="bytes/s, busiest stream"),
        processor=Measured("outcomes", "claims_cpu", factor=1e-6, unit="cores"),
        appends=Measured("outcomes", "claims_appends", unit="appends/s"),
    ),
    Role(
        "Shard owner of billing",
        "open bills on two peers, batches to sharded streams, the fold drops repeats of an id",
        "bytes of the copies to peers; appends were measured at 1 bill a second a host only",
        bytes_per_s=Measured(
            "outcomes", "bills_sent", factor=HOST_REQUESTS_PER_S, unit="bytes/s a host"
        ),
        processor=Measured("outcomes", "bills_cpu", factor=HOST_REQUESTS_PER_S / 1e6, unit="cores"),
        appends=Measured("outcomes", "bills_appends", unit="appends/s at 1 bill/s a host"),
    ),
    Role(
        "Snapshot writer",
        "the fold's state is published again well before the retention horizon",
        "a start without a snapshot folds a whole day of publications: see the slope "
        "start_by_publications",
        state=Measured("config", "record_by_accounts", unit="bytes, the document in force"),
        processor=Measured("config", "fold_by_accounts", unit="ms for each snapshot read"),
    ),
    Role(
        "Sender of engine orders (one host of a zone)",
        "one lease a zone, whose record's offset is the fencing number; an order is an engine's "
        "whole set of versions; the sender reads each engine in turn and orders again",
        "plans and looks grow with the engines of a zone: plans are paced to 1% of a core",
        state=f"what is wanted of {ENDPOINTS / ZONES:.0f} engines",
        messages=f"{ENDPOINTS / ZONES / ORDER_LOOK_S:.0f} looks at engines",
        bytes_per_s=Measured(
            "orders", "demand summary of a host, all 26 versions", unit="bytes a summary of a host"
        ),
        processor=ORDER_LOOKS,
        memory=None,
        appends=f"{ZONES / LEASE_RENEWAL_S:.2f}: a renewal each {LEASE_RENEWAL_S:g} s a zone",
    ),
    Role(
        "Membership in a zone",
        "probes and suspicion between the hosts of one zone, announcements to three others",
        "announcements grow with the fleet's changes, not with its size squared",
        state=f"{HOSTS_PER_ZONE:.0f} members",
        messages=None,
        bytes_per_s=HOSTS_BYTES,
        processor=HOSTS_CORES,
        memory=HOSTS_MEMORY,
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
            "knowing the endpoints": Measured("path", "cores_by_endpoints"),
            "choice of versions": Measured(
                "versions", "choice, median", factor=HOST_REQUESTS_PER_S / 1e6
            ),
            "choice of endpoints": Measured(
                "load", "decision time", factor=HOST_REQUESTS_PER_S / 1e6
            ),
            "configuration": Measured(
                "config", "fold_by_accounts", factor=CHANGES_PER_DAY / SECONDS_PER_DAY / 1000
            ),
            "claims": Measured("outcomes", "claims_cpu", factor=1e-6),
            "billing": Measured("outcomes", "bills_cpu", factor=HOST_REQUESTS_PER_S / 1e6),
            "membership": HOSTS_CORES,
            "looks at engines (the sender of orders)": ORDER_LOOKS,
            "plans (the sender of orders)": ORDER_PLANS,
        },
    ),
    Budget(
        "Control: memory",
        128.0,
        "MB",
        {
            "process with its own endpoints": Measured("path", "memory_by_endpoints"),
            "endpoint table": Measured("load", "endpoint table", factor=1e-6),
            "membership": HOSTS_MEMORY,
        },
    ),
    Budget(
        "Control: bytes a second (9 KB)",
        9000.0,
        "bytes/s",
        {
            "load summary of a host, once a second": Measured("load", "load summary"),
            "configuration": Measured(
                "config", "record_by_accounts", factor=CHANGES_PER_DAY / SECONDS_PER_DAY
            ),
            "billing": Measured("outcomes", "bills_sent", factor=HOST_REQUESTS_PER_S),
            "membership": HOSTS_BYTES,
        },
    ),
    Budget(
        "Configuration in force",
        11.0,
        "s",
        {"in force": HOSTS_IN_FORCE},
    ),
    Budget(
        "Log appends, all hosts (several hundred; 300 taken)",
        300.0,
        "appends/s",
        {
            "claims at 1 keyed call/s a host": Measured("outcomes", "claims_appends"),
            "billing at 1 bill/s a host": Measured("outcomes", "bills_appends"),
            "roll-outs": Measured("versions", "appends_by_versions"),
        },
    ),
)

INTRODUCTION = f"""
# Capacity at the two-year size

Rendered by `make capacity` from `bench/measurements/*.jsonl`; don't edit it by hand. The size is
{HOSTS} hosts before {ENDPOINTS} runners, {REQUESTS_PER_S:,} requests and {TOKENS_PER_S:,} tokens a
second, {VERSIONS} models and versions, {REGIONS} regions with {ZONES} zones, {CHANGES_PER_DAY}
changes of configuration a day. Every figure is extrapolated from a measured slope (last table:
points, fit, standard error, command; the commit that holds this page holds the measurement files),
or worked out from the sizes and from periods in the code. A cell without a slope says
"not measured". The figures come from one busy virtual machine with small stand-ins: they show
how cost grows, not what a given host will spend.
"""

LIMITS = f"""
## What does not hold, and what would change it

- **Shares of account limits.** A host tells 66 bytes an account with four limits. With ten accounts
  the summaries of a zone's {HOSTS_PER_ZONE:.0f} hosts need most of a minute at a thousand bytes a
  second; rounds get that long, so a share follows demand that moves in minutes. The change: tell
  only shares that moved, and give the accounts of a zone to a few of its hosts each.
- **Log reads.** {HOSTS} hosts that each read {LOG_STREAMS_FOLLOWED} streams every
  {MAX_POLL_INTERVAL_S:g} s make {HOSTS * LOG_READS_PER_S:,.0f} reads a second; whether the log \
serves
  so many is not given. One host reads a stream every {SHARED_POLL_INTERVAL_S} s and announces \
what came, so the
  others could read more rarely still; they don't, for announcements can be lost.
- **Bytes.** The two large parts are membership with its summaries, counted both ways at the busiest
  host, and the copies of open bills at two peers. Copies that are sent in batches, or smaller
  summaries, would lower them.
- **At rest.** The intercept of `cores_by_endpoints` is what a host without a request spends, its
  polls of the log's streams, the host list, the rating service and its engines among it. Longer
  periods, or one read for several streams, would lower it.
- **Data path.** One process carries a host's streams under one interpreter lock. The slope of
  processor time by tokens says how near {HOST_TOKENS_PER_S:,.0f} tokens a second come to a core.
"""

_SHARE = HOST_REQUESTS_PER_S / (HOSTS_PER_ZONE - 1)
_ZONE_REQUESTS = REQUESTS_PER_S / ZONES

FAILURES = (
    Failure(
        "One host fails (7 on an ordinary day)",
        f"{HOST_REQUESTS_PER_S:.1f} requests/s over the other {HOSTS_PER_ZONE - 1:.0f} hosts of "
        f"the zone, {_SHARE:.2f} more each; {HOST_STREAMS:.0f} open streams break, callers ask "
        "again",
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
        f"{_ZONE_REQUESTS:.0f} requests/s and {TOKENS_PER_S / ZONES:,.0f} tokens/s over "
        f"{HOSTS - HOSTS_PER_ZONE:.0f} hosts: {1 / (ZONES - 1):.0%} more each, "
        f"{HOST_TOKENS_PER_S * ZONES / (ZONES - 1):,.0f} tokens/s",
        f"{HOSTS_PER_ZONE:.0f} announcements in each other zone, in batches",
        "a zone is taken as silent after 6 s (period in the code)",
    ),
    Failure(
        "The link between the regions is lost (minutes)",
        "none: each region has its own hosts and endpoints",
        "digests between the regions stop; the region without the log refuses keyed operations",
        "configuration of the cut-off region stands still until the link is back",
    ),
)
