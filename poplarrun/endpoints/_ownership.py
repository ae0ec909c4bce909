"""Assignment of endpoints to the hosts of a zone."""

import math
from collections import Counter
from collections.abc import Collection

from poplarrun.rendezvous import rank_hosts


def assign_endpoints(names: Collection[str], hosts: Collection[str]) -> dict[str, str]:
    """Assign endpoints evenly to hosts, by rendezvous hashing with bounded loads.

    All hosts that agree on which hosts are live compute the same assignment. While they disagree,
    an endpoint may be polled twice, or chosen with less knowledge of its load.
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
