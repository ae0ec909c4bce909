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


@then("the call is {prepared} and the service has no effect")
def step_prepared(context, prepared):
    is_plain = not isinstance(context.prepared, ServiceNotSent)
    context.is_ready = prepared == "ready"
    assert is_plain == context.is_ready, context.prepared
    assert context.service.effects == []


@then("handed over and finished it {ends}")
def step_finished(context, ends):
    answer = None
    if context.is_ready:
        assert context.prepared.start_sending()
        answer = context.prepared.finish(TIMEOUT_S)
        context.prepared.close()
    if ends == "ran with its own body":
        assert isinstance(answer, ServiceResponse) and answer.status == 200, answer
        assert [e["body"] for e in context.service.effects] == [context.body.decode()]
    else:
        assert answer is None or isinstance(answer, ServiceOutcomeUnknown)
        assert context.service.effects == []
