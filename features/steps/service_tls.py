from behave import given, then, when
from cheroot.ssl.builtin import BuiltinSSLAdapter

from features.environment import CERTIFICATES
from poplarrun.clients import (
    HttpServiceCaller,
    PlatformTls,
    ServiceCall,
    ServiceNotSent,
    ServiceOutcomeUnknown,
    ServiceResponse,
)
from standins import ServiceStandIn

TIMEOUT_S = 10.0


@given("a plain service that listens with TLS")
def step_service(context):
    context.service = ServiceStandIn("returns")
    context.service._data.ssl_adapter = BuiltinSSLAdapter(
        str(CERTIFICATES / "own-host.crt"), str(CERTIFICATES / "own-host.key")
    )
    context.service.start()
    context.add_cleanup(context.service.stop)


@when('a call with a body of {size:d} bytes is prepared with the "{authority}" authority')
def step_prepare(context, size, authority):
    path = CERTIFICATES / f"{authority}-authority.pem"
    caller = HttpServiceCaller(None if authority == "no" else PlatformTls(path))
    context.body = b"b" * size
    call = ServiceCall("r1", "correct", context.body, "text/plain")
    context.prepared = caller.prepare(context.service.address, call)


@then("the call is {state} and the service has executed nothing")
def step_prepared(context, state):
    is_prepared = not isinstance(context.prepared, ServiceNotSent)
    context.is_ready = state == "ready"
    assert is_prepared == context.is_ready, context.prepared
    assert context.service.effects == []


@then("after it was sent it {outcome}")
def step_sent(context, outcome):
    result = None
    if context.is_ready:
        assert context.prepared.start_sending()
        result = context.prepared.finish(TIMEOUT_S)
        context.prepared.close()
    if outcome == "was executed with its body":
        assert isinstance(result, ServiceResponse) and result.status == 200, result
        assert [e["body"] for e in context.service.effects] == [context.body.decode()]
    else:
        assert result is None or isinstance(result, ServiceOutcomeUnknown)
        assert context.service.effects == []
