import socket

from behave import given, then, when

from standins import LogStandIn
from standins._ports import free_port, reserve_port_range
from standins.fleet import get_json


@given("a stand-in whose control port is taken before it starts")
def step_taken(context):
    context.stand_in = LogStandIn()
    context.taken_address = context.stand_in.control_address
    host, port = context.taken_address.split(":")
    listener = socket.create_server((host, int(port)))
    context.add_cleanup(listener.close)


@when("it starts")
def step_start(context):
    context.stand_in.start()
    context.add_cleanup(context.stand_in.stop)


@then("it responds at another control port")
def step_responds(context):
    assert context.stand_in.control_address != context.taken_address
    assert get_json(context.stand_in.control_address, "/faults") is not None


@when("{count:d} free ports are allocated")
def step_allocate_ports(context, count):
    context.ports = [free_port() for _ in range(count)]


@then("any {count:d} in a row differ")
def step_ports_differ(context, count):
    for start in range(len(context.ports) - count):
        assert len(set(context.ports[start : start + count])) == count


@given("another process has bound {count:d} of the candidate ports")
def step_bound(context, count):
    for _ in range(count):
        # create_server sets SO_REUSEADDR as servers do, so that a port whose last connection
        # is still in TIME_WAIT can be bound.
        listener = socket.create_server(("127.0.0.1", free_port()))
        context.add_cleanup(listener.close)


@when("{count:d} processes whose first choice is the same range of ports reserve one each")
def step_reserve(context, count):
    context.reserved = [reserve_port_range(7) for _ in range(count)]
    for _, reservation in context.reserved:
        context.add_cleanup(reservation.close)


@then("the ranges differ, and one that is given back is reserved again")
def step_ranges_differ(context):
    ports = [port for port, _ in context.reserved]
    assert len(set(ports)) == len(ports), ports
    context.reserved[0][1].close()
    again, reservation = reserve_port_range(7)
    context.add_cleanup(reservation.close)
    assert again == ports[0], (again, ports)
