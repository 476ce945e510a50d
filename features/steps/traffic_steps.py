"""Steps that send requests and look at what callers saw."""

import asyncio
import json

from behave import given
from behave import then
from behave import when

from features import builders
from martenjunction import http_headers
from martenjunction.cmd import remote
from martenjunction.endpoints import client
from martenjunction_lab import answers
from martenjunction_lab import load
from martenjunction_lab import plain
from martenjunction_lab import results
from martenjunction_lab import traffic

SEED = 7


def _begin(context, seconds, entry_key):
    streams = [
        builders.STREAMS[row["kind"]](float(row["per second"]))
        for row in context.table
    ]
    arrivals = traffic.draw(streams, seconds, SEED)

    async def make():
        return load.Load(context.cluster.addresses, SEED, entry_key)

    context.load = context.loop.run(make())
    context.traffic = context.loop.start(context.load.run(arrivals))


@given("for {seconds:g} seconds callers send")
@when("for {seconds:g} seconds callers send")
def begin(context, seconds):
    _begin(context, seconds, "")


@given("for {seconds:g} seconds callers who ask for entry addresses send")
@when("for {seconds:g} seconds callers who ask for entry addresses send")
def begin_by_entry(context, seconds):
    _begin(context, seconds, builders.FIELD_KEY)


@when("all answers are in")
def finish(context):
    context.traffic.result(180.0)
    context.traffic = None


def _class_items(context, name):
    return [
        item
        for item in context.load.seen
        if item.arrival.stream.service_class == name
    ]


def _bad(items):
    return [
        (i.arrival.stream.service_class, i.status, i.outcome, i.reason)
        for i in items
        if not i.whole
    ]


@then("every answer is whole and its own")
def all_whole(context):
    bad = _bad(context.load.seen)
    assert context.load.seen
    assert not bad, bad[:5]


@then("every answer to {name} is whole and its own")
def class_whole(context, name):
    items = _class_items(context, name)
    assert items
    bad = _bad(items)
    assert not bad, bad[:5]


@then("every caller has a whole answer or a true word")
def answered_or_told(context):
    assert context.load.seen
    lost = [i for i in context.load.seen if i.lost]
    assert not lost, _bad(lost)[:5]
    for item in context.load.seen:
        _check_word(context, item)


def _check_word(context, item):
    if item.outcome != "not-run":
        return
    outside = context.cluster.outside
    if item.arrival.stream.is_plain:
        assert outside.runs_of(context.load.booking(item.arrival)) == 0
    else:
        assert outside.starts_of(item.arrival.body) == 0


@then("only callers of daemon {number:d} may be without a word")
def only_callers_of(context, number):
    address = context.cluster.daemons[f"box-{number}"].settings.callers
    _only_callers_of(context, address)


@then("only callers of the killed daemon may be without a word")
def only_callers_of_killed(context):
    _only_callers_of(context, context.notes["killed"].settings.callers)


def _only_callers_of(context, address):
    lost = [i for i in context.load.seen if i.lost]
    assert all(i.address == address for i in lost), _bad(lost)[:5]
    for item in context.load.seen:
        _check_word(context, item)


@then("no call was run twice")
def none_doubled(context):
    assert context.cluster.outside.doubled_bookings() == 0


@then("no answer repeats or mixes tokens")
def none_mixed(context):
    bad = [i for i in context.load.seen if i.reason.startswith("token ")]
    assert not bad, _bad(bad)[:5]


@then("some {name} were shed, each with a time to come back")
def some_shed(context, name):
    shed = [i for i in _class_items(context, name) if i.outcome == "not-run"]
    assert shed
    assert all(i.status == 503 and i.retry_after >= 1 for i in shed)


@then("the times to come back are spread")
def spread(context):
    times = {
        json.loads(i.reason)["error"]["retry_after_s"]
        for i in context.load.seen
        if i.outcome == "not-run"
    }
    assert len(times) > 3, times


@then("{name} never stood still for {seconds:g} seconds")
def no_gap(context, name, seconds):
    items = _class_items(context, name)
    assert sum(i.whole for i in items) > 0
    gap = results.longest_gap(items)
    assert gap < seconds, gap


@then("no caller was refused a connection")
def none_refused(context):
    assert context.load.book.refusals == 0


# Single requests.


def _exchange(context, address, request):
    async def work():
        http = client.EndpointClient(4)
        stream = http.open(request)
        body = []
        try:
            async with asyncio.timeout(60.0):
                head = await stream.head()
                while part := await stream.read():
                    body.append(part)
        finally:
            http.close()
        return head, b"".join(body)

    return context.loop.run(work())


def _booking(context, number, name, key=""):
    address = context.cluster.daemons[f"box-{number}"].settings.callers
    headers = [
        ("Authorization", f"Bearer {builders.FIELD_KEY}"),
        (plain.BOOKING_HEADER, name),
    ]
    if key:
        headers.append((http_headers.IDEMPOTENCY_KEY, key))
    return address, client.EndpointRequest(
        "POST",
        f"http://{address}/v1/services/weighbridge-app/tags?lot=7",
        headers,
        b'{"lot": 7}',
        once=True,
    )


@given('"{name}" is booked through daemon {number:d}')
@when('"{name}" is booked through daemon {number:d}')
def book(context, name, number):
    address, request = _booking(context, number, name)
    context.answer = _exchange(context, address, request)


@given('"{name}" is booked with key "{key}" through daemon {number:d}')
@when('"{name}" is booked with key "{key}" through daemon {number:d}')
def book_with_key(context, name, key, number):
    address, request = _booking(context, number, name, key)
    context.answer = _exchange(context, address, request)


@when('"{name}" is being booked with key "{key}" through daemon {number:d}')
def begin_booking(context, name, key, number):
    _, request = _booking(context, number, name, key)

    async def work():
        context.notes["http"] = client.EndpointClient(4)
        context.notes["http"].open(request)
        async with asyncio.timeout(10.0):
            while context.cluster.outside.runs_of(name) == 0:
                await asyncio.sleep(0.02)

    context.loop.run(work())


@then("the caller is told {outcome} with status {status:d}")
def told(context, outcome, status):
    head, body = context.answer
    assert head.status == status, (head.status, body)
    assert head.get(http_headers.OUTCOME) == outcome, head
    assert json.loads(body)["error"]["outcome"] == outcome


@then("the caller has the answer")
def has_answer(context):
    head, body = context.answer
    assert head.status == 200, (head, body)


@then('"{name}" was run {count:d} times')
def was_run(context, name, count):
    assert context.cluster.outside.runs_of(name) == count


def _chat(context, number, answer_tokens, stream=True, key=None):
    body = {
        "model": "vintage-lm",
        "stream": stream,
        "messages": [{"role": "user", "content": f"ripe? {answer_tokens}"}],
        "answer_tokens": answer_tokens,
    }
    address = context.cluster.daemons[f"box-{number}"].settings.callers
    shown = key or builders.FIELD_KEY
    request = client.EndpointRequest(
        "POST",
        f"http://{address}/v1/chat/completions",
        [("Authorization", f"Bearer {shown}")],
        json.dumps(body).encode(),
    )
    return address, request, body


@when("a question is asked through daemon {number:d}")
def ask(context, number):
    address, request, context.body = _chat(context, number, 20)
    context.answer = _exchange(context, address, request)


@when("a whole answer is asked for through daemon {number:d}")
def ask_whole(context, number):
    address, request, context.body = _chat(context, number, 20, stream=False)
    context.answer = _exchange(context, address, request)


@then("the whole answer is the caller's own")
def own_whole(context):
    head, body = context.answer
    assert head.status == 200, (head, body)
    text = json.loads(body)["choices"][0]["message"]["content"]
    verdict = answers.check(text, context.body)
    assert verdict.whole, verdict


@then("the question was never started on an engine")
def never_started(context):
    assert context.cluster.outside.starts_of(context.body) == 0


@then("daemon {number:d} still answers operators")
def still_answers(context, number):
    try:
        context.loop.run(context.cluster.dump(f"box-{number}"))
    except remote.NoAnswerError as error:
        raise AssertionError(str(error)) from error
