"""Fuzz tests: input from callers, the log or peers never stops a process."""

import json
import typing
from contextlib import suppress

import msgspec
import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from ebonywell import (
    changes,
    logclient,
    messages,
    misc,
    opclient,
    operations,
    records,
    recovery,
    replica,
    state,
    targets,
    transport,
    wire,
)
from ebonywell.answers import RefusedError
from ebonywell.exceptions import (
    LogOutageError,
    OperatorError,
    PeerError,
    RecordError,
    SettingsError,
    TransportError,
)
from ebonywell.types import EntryKind, HostId

QUOTE = changes.Entry('quote', EntryKind.model, bytes=1, max_output_tokens=9)
CHAT = b'{"model": "quote", "messages": [{"role": "user", "content": "a"}]%b}'
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)
# Names are drawn from a small set, so that records refer to each other.
st.register_type_strategy(str, st.sampled_from(['a', 'b', 'c/d', '', 'é']))


def draw_later(hint):
    """Return a strategy that resolves its type on the first draw."""
    return st.deferred(lambda: st.from_type(hint))


def draw_fields(kind):
    """Return strategies for all fields, including those with defaults."""
    return {
        name: draw_later(hint)
        for name, hint in typing.get_type_hints(kind).items()
    }


def register_structs():
    """Register strategies for the structs of this package."""
    for struct in msgspec.Struct.__subclasses__():
        if struct.__module__.startswith('ebonywell'):
            drawn = st.builds(struct, **draw_fields(struct))
            st.register_type_strategy(struct, drawn)


register_structs()
BODIES = st.from_type(records.Body)


def read_chat(content):
    """Read a chat request as the edge does."""
    chat = messages.read_chat(content)
    messages.estimate_prompt_tokens(chat)
    limit = messages.output_limit(chat, QUOTE)
    assert 0 < limit <= QUOTE.max_output_tokens
    sent = json.loads(messages.limited_body(content, limit))
    assert sent['max_tokens'] == limit


REFUSED_CHANGES = (msgspec.MsgspecError, RecordError)
PARSERS = [
    (read_chat, RefusedError),
    (operations.read_change, REFUSED_CHANGES),
    (state.decode_state, RecordError),
    (
        lambda content: logclient._decode(content, logclient.Page),
        LogOutageError,
    ),
    (
        lambda content: transport.decode_answer(content, targets.HostList),
        TransportError,
    ),
    (
        lambda content: transport.decode_answer(content, targets.Report),
        TransportError,
    ),
    (wire.decode, PeerError),
    (lambda content: opclient._decode('', content, int), OperatorError),
    (
        lambda content: misc.split_address(content.decode('latin-1')),
        SettingsError,
    ),
]


@pytest.mark.parametrize(('parse', 'error'), PARSERS)
@given(content=st.binary(max_size=80) | JSON.map(json.dumps).map(str.encode))
@example(b'[' * 100_000)
@example(b'{"hosts": [], "records": 1e999}')
def test_a_parser_raises_its_own_error_only(parse, error, content):
    with suppress(error):
        parse(content)


@pytest.mark.parametrize(
    'field',
    [
        b'',
        b', "seed": 1e400',
        b', "user": "\xff"',
        b', "user": "%bud800"' % bytes((92,)),
        b', "max_tokens": -1',
        b', "max_tokens": 99999999999999999999999',
        b', "max_completion_tokens": 0, "max_tokens": 3',
        b', "deep": %b%b' % (b'[' * 5000, b']' * 5000),
    ],
)
def test_a_chat_request_is_accepted_or_rejected(field):
    with suppress(RefusedError):
        read_chat(CHAT % field)


@given(JSON | st.builds(dict, body=JSON, record_id=st.text()))
def test_json_that_is_not_a_record_is_an_error(parsed):
    with pytest.raises(RecordError):
        records.parse_record(parsed)


def corrupt(draw, parsed):
    """Replace one part of a record by arbitrary JSON."""
    if isinstance(parsed, dict) and parsed and draw(st.booleans()):
        name = draw(st.sampled_from(sorted(parsed)))
        return {**parsed, name: corrupt(draw, parsed[name])}
    return draw(JSON)


@st.composite
def stored_records(draw):
    """Draw records as the log stores them, some of them corrupted."""
    written = []
    for body in draw(st.lists(BODIES, max_size=8)):
        record = records.to_json(records.Record('r', 'h/1', 1, body))
        is_good = draw(st.integers(0, 3))
        written.append(record if is_good else corrupt(draw, record))
    return written


def read_all(written):
    """Feed records to a new replica; return it and the logged events."""
    events = []
    one = replica.Replica(
        client=None,
        host=HostId('h', '1'),
        log=lambda event, **fields: events.append(event),
        clock=int,
    )
    for offset, parsed in enumerate(written):
        one.apply(offset, parsed)
    return one, events


@settings(max_examples=200, deadline=None)
@given(stored_records())
def test_any_records_lead_to_the_same_state_on_all_hosts(written):
    one, events = read_all(written)
    assert one.state.applied == len(written) - 1
    assert one.unreadable == events.count('record_unreadable')
    again, _ = read_all(written)
    assert state.encode_state(again.state) == state.encode_state(one.state)
    half = len(written) // 2
    early, _ = read_all(written[:half])
    resumed = state.decode_state(state.encode_state(early.state))
    early.state = resumed
    for offset, parsed in enumerate(written[half:], half):
        early.apply(offset, parsed)
    assert early.state == one.state


@settings(deadline=None)
@given(stored_records())
def test_no_records_stop_the_search_for_a_checkpoint(written):
    search = recovery.Recovery(0)
    for offset, parsed in enumerate(written):
        recovery.add_record(search, logclient.StoredRecord(offset, parsed))
