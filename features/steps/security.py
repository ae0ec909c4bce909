import asyncio
import contextlib
import itertools
import os
import random
import shutil
import socket
import ssl
import tempfile
import time
from pathlib import Path

import msgspec
import urllib3
from behave import given, then, when
from cheroot.ssl.builtin import BuiltinSSLAdapter
from hypothesis import HealthCheck, Phase, settings, strategies
from hypothesis import given as given_values

from poplarrun.clients import HttpLog, PlatformTls, use_plain_http, use_tls
from poplarrun.config import Publication, decode_signed_record, encode_record, sign_record
from poplarrun.config._sharing import ShareAnswer, decode_share_answer
from poplarrun.contracts import parse_document
from poplarrun.hosts._items import Item, ItemStore
from poplarrun.hosts._peers import Peer
from poplarrun.hosts._wire import Envelope, Ping, decode_envelope, encode_envelope
from poplarrun.hosts._zones import Zones, zone_key
from poplarrun.leases import Acquire, decode_lease_record, encode_lease_record
from poplarrun.links import NngLinks, TlsFiles
from poplarrun.log import Appended
from poplarrun.server._bodies import read_chat_body
from poplarrun.server._http_server import ReloadableCertificate
from poplarrun.settings import CallersTls
from standins import LogStandIn
from standins.fleet import free_address, wait_until

CERTIFICATES = Path(__file__).resolve().parents[1] / "certificates"
EXAMPLES = Path(__file__).resolve().parents[2] / "examples"
OWN = CERTIFICATES / "own-authority.pem"
SEND_INTERVAL_S = 1.0
MAX_SENDS = 20


def tls(identity, authority=OWN):
    return TlsFiles(authority, identity)


def send(context, tls_files, *messages):
    """Send messages from a separate host over the real transport."""

    async def exchange():
        sender = NngLinks(free_address(), tls_files)
        sender.start(lambda _: None)
        for message in messages:
            sender.send(context.receiver.address, message)
            await asyncio.sleep(SEND_INTERVAL_S)
        sender.stop()

    context.real_loop.run_until_complete(exchange())


def start_receiver(context, tls_files):
    context.real_loop = asyncio.new_event_loop()
    context.received = []

    async def start():
        context.receiver = NngLinks(free_address(), tls_files)
        context.receiver.start(context.received.append)

    def stop():
        context.receiver.stop()
        context.real_loop.run_until_complete(asyncio.sleep(0.05))
        context.real_loop.close()

    context.real_loop.run_until_complete(start())
    context.add_cleanup(stop)


@given("a host listens for peers with its certificate")
def step_listen(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.identity = Path(folder.name) / "identity.pem"
    shutil.copy(CERTIFICATES / "own-host.pem", context.identity)
    start_receiver(context, tls(context.identity))


@given("a host listens for peers without TLS")
def step_listen_plain(context):
    start_receiver(context, None)


@when("its certificate file is replaced")
def step_renew(context):
    shutil.copy(CERTIFICATES / "renewed-host.pem", context.identity)

    async def renew():
        context.receiver.close_idle(time.monotonic())
        await asyncio.sleep(0.2)

    context.real_loop.run_until_complete(renew())


@when('a host of the same authority sends "{text}"')
def step_send_own(context, text):
    send(context, tls(CERTIFICATES / "own-host.pem"), text.encode())


@when('a host of a foreign authority sends "{text}"')
def step_send_foreign(context, text):
    send(context, tls(CERTIFICATES / "foreign-host.pem"), text.encode())


@when('a sender without TLS sends "{text}"')
def step_send_plain(context, text):
    send(context, None, text.encode())


@when('a sender sends {count:d} bytes and then "{text}"')
def step_send_large(context, count, text):
    # Bypasses the sender's own size limit, which a hostile sender would not have.
    async def exchange():
        sender = NngLinks(free_address())
        sender.start(lambda _: None)
        sender._connection(context.receiver.address).socket.send(b"x" * count, block=False)
        # The receiver closes the connection, and a message sent before the reconnection may
        # be lost. The time until then varies from run to run.
        for _ in range(MAX_SENDS):
            await asyncio.sleep(SEND_INTERVAL_S)
            if context.received:
                break
            sender.send(context.receiver.address, text.encode())
        sender.stop()

    context.real_loop.run_until_complete(exchange())


@then('only "{text}" was received')
def step_only(context, text):
    assert set(context.received) == {text.encode()}, context.received


@given("a log that listens with TLS")
def step_tls_log(context):
    context.stand_in = LogStandIn()
    context.stand_in._data.ssl_adapter = BuiltinSSLAdapter(
        str(CERTIFICATES / "own-host.crt"), str(CERTIFICATES / "own-host.key")
    )
    context.stand_in.start()
    context.add_cleanup(use_plain_http)
    context.add_cleanup(context.stand_in.stop)


def append_with(context, authority):
    use_tls(PlatformTls(CERTIFICATES / f"{authority}-authority.pem"))
    context.outcome = HttpLog(context.stand_in.address).append("test", b"record")


@when("a record is appended with the right authority")
def step_append(context):
    append_with(context, "own")


@when("a record is appended with a foreign authority")
def step_append_foreign(context):
    append_with(context, "foreign")


@then("it is appended at offset 0")
def step_appended(context):
    assert context.outcome == Appended(0), context.outcome


@then("the append is refused or unknown, and the log has no further record")
def step_not_appended(context):
    assert not isinstance(context.outcome, Appended), context.outcome
    assert context.stand_in.log.read("test", 0, 10).end == 1


def fetch_certificate(context):
    """Return the certificate that the host presents, after /readyz was answered."""
    ip, _, port = context.host_address.rpartition(":")
    trust = ssl.create_default_context(cafile=str(OWN))
    plain = socket.create_connection((ip, int(port)), timeout=5)
    with trust.wrap_socket(plain, server_hostname=ip) as connection:
        connection.sendall(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        assert connection.recv(100).startswith(b"HTTP/1.1")
        return connection.getpeercert(binary_form=True)


def certificate_of(name):
    return ssl.PEM_cert_to_DER_cert((CERTIFICATES / f"{name}.crt").read_text())


@given("the callers' certificate in two files")
def step_two_files(context):
    temporary = tempfile.TemporaryDirectory()
    context.add_cleanup(temporary.cleanup)
    folder = Path(temporary.name)
    context.tls_files = CallersTls(certificate=folder / "host.crt", key=folder / "host.key")
    shutil.copy(CERTIFICATES / "own-host.crt", context.tls_files.certificate)
    shutil.copy(CERTIFICATES / "own-host.key", context.tls_files.key)
    context.caller_certificate = ReloadableCertificate(context.tls_files)


@when("only the certificate's file is replaced, and both are loaded again")
def step_one_file(context):
    shutil.copy(CERTIFICATES / "renewed-host.crt", context.tls_files.certificate)
    later_s = time.time() + 10.0
    os.utime(context.tls_files.certificate, (later_s, later_s))
    assert not context.caller_certificate.reload()


@then("callers still get the first certificate")
def step_first_presented(context):
    assert do_handshake(context.caller_certificate.adapter.context) == certificate_of("own-host")


def do_handshake(server_context):
    """Do a TLS handshake in memory; return the certificate that the client gets."""
    to_server, to_client = ssl.MemoryBIO(), ssl.MemoryBIO()
    trust = ssl.create_default_context(cafile=str(OWN))
    trust.check_hostname = False
    client = trust.wrap_bio(to_client, to_server)
    server = server_context.wrap_bio(to_server, to_client, server_side=True)
    for _ in range(4):
        for side in (client, server):
            with contextlib.suppress(ssl.SSLWantReadError):
                side.do_handshake()
    return client.getpeercert(binary_form=True)


@when("the readiness is queried over TLS")
def step_query_tls(context):
    context.certificate = fetch_certificate(context)


@then("the response comes with the first certificate")
def step_first_certificate(context):
    assert context.certificate == certificate_of("own-host")


@when("the callers' certificate files are replaced")
def step_replace_files(context):
    shutil.copy(CERTIFICATES / "renewed-host.crt", context.certificate_file)
    shutil.copy(CERTIFICATES / "renewed-host.key", context.key_file)


@then("soon responses come with the renewed certificate")
def step_renewed(context):
    renewed = certificate_of("renewed-host")
    wait_until(lambda: fetch_certificate(context) == renewed, "the renewed certificate")


@when("{count:d} connections send half a handshake or nothing and stay open")
def step_half_open(context, count):
    ip, _, port = context.host_address.rpartition(":")
    for number in range(count):
        connection = socket.create_connection((ip, int(port)), timeout=5)
        context.add_cleanup(connection.close)
        if number % 2:
            connection.sendall(b"\x16\x03\x01")


@then("{count:d} further requests are answered")
def step_answered(context, count):
    pool = urllib3.PoolManager(ca_certs=str(OWN), retries=False)
    for _ in range(count):
        response = pool.request("GET", f"https://{context.host_address}/healthz", timeout=10)
        assert response.status == 200


def publish_by_command(context, *more):
    file = str(EXAMPLES / "thistledown.yaml")
    log = context.fleet.log.address
    # The command doesn't know the operators' keys, so it takes records that the hosts refuse
    # for accepted ones. Based on -1, each is what a host would accept as its first.
    context.fleet.run_cli("config", "publish", file, "--log", log, "--based-on=-1", *more)


@when("an operator publishes without a key")
def step_publish_unsigned(context):
    publish_by_command(context)


@when('operator "{name}" publishes with key "{key}"')
def step_publish_with_key(context, name, key):
    file = context.fleet.folder / "key"
    file.write_text(key)
    publish_by_command(context, "--operator", name, "--key-file", str(file))


@then("the host refused {count:d} records and has no configuration in force")
def step_refused_records(context, count):
    (host,) = context.fleet.hosts.values()

    def refused():
        text = urllib3.request("GET", f"http://{host.address}/metrics").data.decode()
        return f'poplarrun_events_total{{event="config_record_unsigned"}} {count}.0' in text

    wait_until(refused, "the records are refused")
    assert host.status()["offset"] == -1


@then("the host has the publication in force")
def step_has_in_force(context):
    (host,) = context.fleet.hosts.values()
    wait_until(lambda: host.status()["offset"] == 2, "in force")


PUBLICATION = Publication("id", -1, "ada", 0.0, "models: {}")
ENVELOPE = Envelope(1, "a1", "a", "a1", 1, Ping(1), [Item("m/a1", 1, 1, b"x")])


def read_members(data):
    me = Peer("a1", "a", "local", 1)
    zones = Zones(me, ItemStore(), lambda _: None, random.Random(1), 0.0)
    zones.apply_item(Item(zone_key("b", "~members"), 1, 0, data), 0.0)


DECODERS = {
    "peer messages": (decode_envelope, encode_envelope(ENVELOPE)),
    "configuration records": (decode_signed_record, sign_record(PUBLICATION, "ada", b"key")),
    "configuration answers": (
        decode_share_answer,
        msgspec.msgpack.encode(ShareAnswer(None, [(1, encode_record(PUBLICATION))])),
    ),
    "lease records": (decode_lease_record, encode_lease_record(Acquire("i", "j", "h", 1.0, -1))),
    "chat bodies": (
        read_chat_body,
        b'{"model": "note", "messages": [{"role": "user", "content": "x"}], "stream": true}',
    ),
    "documents": (
        lambda data: parse_document(data.decode("utf-8", "replace")),
        (EXAMPLES / "thistledown.yaml").read_bytes()[:600],
    ),
    "zone members": (read_members, b"x\x9cc\x00\x00\x00\x01\x00\x01"),
}


def mutated(valid):
    """Generate random bytes, and a valid message with bytes replaced, removed or inserted."""
    change = strategies.tuples(strategies.integers(0, len(valid)), strategies.binary(max_size=6))

    def apply(changes):
        data = valid
        for at, piece in changes:
            data = data[:at] + piece + data[at + len(piece) // 2 :]
        return data

    return strategies.one_of(
        strategies.binary(max_size=400), strategies.lists(change, max_size=6).map(apply)
    )


@when('the decoder of "{message_format}" reads {count:d} hostile inputs')
def step_fuzz(context, message_format, count):
    decode, valid = DECODERS[message_format]
    context.input_count = itertools.count()

    @settings(
        max_examples=count,
        derandomize=True,
        database=None,
        deadline=None,
        phases=[Phase.generate],
        suppress_health_check=list(HealthCheck),
    )
    @given_values(mutated(valid))
    def read(data):
        next(context.input_count)
        decode(data)

    read()
    context.count = count


@then("none of them raised")
def step_none_raised(context):
    input_count = next(context.input_count)
    print(f"{input_count} inputs tried")
    assert input_count >= context.count * 0.9, input_count
