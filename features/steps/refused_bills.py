import asyncio

from behave import given, then, when

from poplarrun.billing import Bill, BillReplicator, read_statement
from poplarrun.hosts import MemoryPeerNetwork, MemoryPeers, Peer
from poplarrun.log import MemoryLog, ThreadedLog, call_inline
from standins.histories import run_virtual

HOSTS = {"a1": "a", "b1": "b", "c1": "c"}
ROUNDS = 5


@given("a host whose peers know of a request that it then refuses as not run")
def step_refused(context):
    context.bill_log = MemoryLog()


async def refuse_and_isolate(log):
    loop = asyncio.get_running_loop()
    network = MemoryPeerNetwork()
    replicators = {
        name: BillReplicator(
            MemoryPeers(network, Peer(name, zone, "r", 1)),
            ThreadedLog(log, call_inline),
            loop.time,
            loop.time,
        )
        for name, zone in HOSTS.items()
    }
    replicators["a1"].open_bill(Bill("r1", "shop", "larch:1", 0.1))
    await replicators["a1"].run_round()
    assert all(replicators[name].has_bill("r1") for name in ("b1", "c1"))
    replicators["a1"].cancel_bill("r1")
    network.cut(["a1"], ["b1", "c1"])
    for _ in range(ROUNDS):
        await asyncio.gather(*(replicator.run_round() for replicator in replicators.values()))
        await asyncio.sleep(1.0)
    assert replicators["b1"].finished_for_peers


@when("the host is isolated from them, and they take its bills over")
def step_cut(context):
    run_virtual(refuse_and_isolate(context.bill_log))


@then("the statement's total is {total:f}")
def step_total(context, total):
    statement = read_statement(context.bill_log, "shop", 0.0)
    assert statement is not None
    assert abs(statement.total - total) < 1e-9, statement
