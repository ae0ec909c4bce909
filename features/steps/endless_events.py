import asyncio
import threading
import time

from behave import then, when

from poplarrun.gateway._answer_reader import AnswerReader
from poplarrun.gateway._event_stream import EventParser
from standins.installation import Answer, Fault

KILOBYTE = 1000
ARRIVED_BYTES = 256 * 1024
ARRIVED = {
    "blank lines": b"\n" * ARRIVED_BYTES,
    "tiny events": b"id: 1\n\n" * (ARRIVED_BYTES // 7),
}


@when("{count:d} drafts come whose engines go on with {what} without end")
def step_drafts(context, count, what):
    installation = context.installation
    for endpoint in installation.endpoints.values():
        if endpoint.service == "engines":
            endpoint.faults.extend([Fault(f"goes on with {what} without end")] * (3 * count))
    context.drafts = []

    def ask(number):
        try:
            answer = installation.call(f"/draft/{number}", X_Model="*", X_Deadline_Ms="6000")
        except OSError:
            answer = Answer(0, is_whole=False)
        context.drafts.append(answer)

    context.draft_threads = [threading.Thread(target=ask, args=(each,)) for each in range(count)]
    for thread in context.draft_threads:
        thread.start()


@when(
    "lookups come {per_s:d} times a second for {seconds:d} s, each with a second to be answered in"
)
def step_lookups(context, per_s, seconds):
    context.lookups = []

    def ask(number):
        started_at = time.monotonic()
        answer = context.installation.call(f"/lookup/{number}", method="GET", X_Deadline_Ms="1000")
        context.lookups.append((answer.status, round(time.monotonic() - started_at, 2)))

    threads = []
    for number in range(per_s * seconds):
        threads.append(threading.Thread(target=ask, args=(number,)))
        threads[-1].start()
        time.sleep(1.0 / per_s)
    for thread in (*threads, *context.draft_threads):
        thread.join()


@then("all lookups got 200")
def step_all_served(context):
    slowest = sorted(context.lookups, key=lambda each: each[1])[-3:]
    print(len(context.lookups), "lookups, the slowest", slowest)
    failed = [each for each in context.lookups if each[0] != 200]
    assert not failed, (len(failed), failed[:5])


@then("no more than {kilobytes:d} KB reached the caller of any draft")
def step_drafts_small(context, kilobytes):
    largest = max(len(answer.body) for answer in context.drafts)
    print("largest draft", largest)
    assert largest <= kilobytes * KILOBYTE, largest


class ArrivedConnection:
    """Connection at which bytes have arrived at once."""

    def __init__(self, data):
        self._data = data

    async def read_data(self, timeout_s=None):
        data, self._data = self._data, None
        return data


@when("256 KB of {what} have arrived at once")
def step_arrived(context, what):
    async def count_turns(turns):
        while True:
            turns.append(len(context.parts))
            await asyncio.sleep(0)

    async def run():
        context.parts, turns = [], []
        other = asyncio.create_task(count_turns(turns))
        reader = AnswerReader(ArrivedConnection(ARRIVED[what]), 0.0, None, lambda: True)
        while (data := await reader.read()) is not None:
            context.parts.append(data)
        other.cancel()
        return turns

    context.turns = asyncio.run(run())
    assert b"".join(context.parts) == ARRIVED[what]


@then("they are read in parts of at most {kilobytes:d} KB, with a turn for other work after each")
def step_parts(context, kilobytes):
    sizes = [len(part) for part in context.parts]
    assert max(sizes) <= 1024 * kilobytes, max(sizes)
    assert len(set(context.turns)) >= len(sizes) - 1, (len(context.turns), len(sizes))


@when('a stream of "id: 1", ": comment", "data: x", "", "id: 2" and "event: end" is read')
def step_mixed(context):
    context.sent = b"id: 1\n\n: comment\n\ndata: x\n\n\n\nid: 2\n\nevent: end\n\n"
    context.read = [
        event
        for parser in [EventParser()]
        for begin in range(0, len(context.sent), 5)
        for event in parser.feed(context.sent[begin : begin + 5])
    ]


@then('the events "id: 1", "id: 2" are numbered, and all bytes are passed on in order')
def step_numbered(context):
    assert [each.id for each in context.read if each.id is not None] == [1, 2], context.read
    assert b"".join(each.data for each in context.read) == context.sent, context.read
