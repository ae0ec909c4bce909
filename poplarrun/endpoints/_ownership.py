"""Which host of a zone usually sends to, and polls, which endpoint."""

import math
from collections import Counter
from collections.abc import Collection

from poplarrun.rendezvous import rank_hosts


def assign_endpoints(names: Collection[str], hosts: Collection[str]) -> dict[str, str]:
    """Assign endpoints to hosts, evenly, by rendezvous hashing with a bound.

    All hosts with the same view of who is live come to the same assignment; a
    different view costs a poll too many and a choice with less knowledge.
    """
    if not hosts:
        return {}
    bound = math.ceil(len(names) / len(hosts))
    counts: Counter[str] = Counter()
    owners: dict[str, str] = {}
    for name in sorted(names):
        for host in rank_hosts(name, hosts):
            if counts[host] < bound:
                counts[host] += 1
                owners[name] = host
                break
    return owners
