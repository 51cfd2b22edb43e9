"""The platform's formats: valid input is decoded, malformed input rejected."""

import contextlib
import json
import platform
import re
import subprocess
from pathlib import Path

import anyio
import httpcore
import msgspec
import pytest
import yaml
from hypothesis import example, given
from hypothesis import strategies as st

from ebonywell.digests import decode_message
from ebonywell.exceptions import (
    LogRefusedError,
    LogServiceError,
    MalformedFrameError,
    RecordError,
    SettingsError,
    TransportError,
)
from ebonywell.inbound import AdmittedRequest
from ebonywell.inventory import Announcement, KnownTarget, TargetState
from ebonywell.platform import (
    catalog,
    deployfile,
    exchange,
    ingress,
    settings,
    store,
    targets,
)
from ebonywell.progress import Verdict
from ebonywell.routetable import RequestKind, Route, WeightedService
from ebonywell.sharedstore import Appended
from ebonywell.transport import HttpClient
from ebonywell.upstream import AnswerHead
from lab.platform_world import BOUNDS, configuration
from lab.standin_platform import PlatformStore, serve_store
from lab.standin_replica import listen

PACKAGE = Path(__file__).parents[1] / 'ebonywell'
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=12,
)


def test_the_platform_package_does_not_shadow_the_standard_library():
    assert platform.python_implementation() == 'CPython'


def test_platform_names_occur_only_in_the_platform_package():
    names = re.compile(
        r'Response-Seal|Expect-Instance|Not-Executed|Token-Count|'
        r'keyed\.(op|servers|status|ebonywell)|log-(append|newest|read)|'
        r'pathPrefix|maxAttempts|apiKeys|kvUsed|atHand|remainingMs',
        re.IGNORECASE,
    )
    found = [
        f'{path.name}: {line.strip()}'
        for path in PACKAGE.glob('*.py')
        for line in path.read_text().splitlines()
        if names.search(line)
    ]
    assert found == []


def test_required_packages_are_locked_and_their_folder_is_ignored():
    root = PACKAGE.parent
    required = {
        line.partition('==')[0].lower()
        for line in (root / 'requirements.txt').read_text().split()
    }
    locked = {
        line.partition('==')[0].lower()
        for line in (root / 'requirements/lock.txt').read_text().split()
    }
    assert required <= locked
    ignored = subprocess.run(
        ['git', 'check-ignore', 'target/deps'], cwd=root, check=False
    )
    assert ignored.returncode in {0, 128}


# Settings


def make_settings(**changes):
    return {
        'node': 'n',
        'ip': '10.0.0.1',
        'zone': 'z',
        'listen': {'front': 'a:1', 'ready': 'a:2', 'directory': 'a:3'},
        'portRange': [7600, 7615],
        'bounds': BOUNDS,
        'platform': {'address': '10.0.0.2:80'},
        'unknown': {'field': 1},
        **changes,
    }


def test_settings_are_converted_to_internal_units():
    found = settings.parse_settings(yaml.safe_dump(make_settings()), 'f')
    assert found.bounds.revoke_s == 5
    assert found.bounds.max_directory_ttl_s == 5
    assert found.bounds.requires_fencing
    assert found.first_internal_port == 7600


@pytest.mark.parametrize(
    ('changes', 'part'),
    [
        ({'node': 7.5}, 'node'),
        ({'listen': {}}, 'listen.front'),
        ({'platform': {}}, 'platform.address'),
        ({'portRange': 'x'}, 'portRange'),
        ({'bounds': {'revokeMs': 'soon'}}, 'revokeMs'),
    ],
)
def test_invalid_settings_are_reported_by_key(changes, part):
    with pytest.raises(SettingsError, match=part):
        settings.parse_settings(yaml.safe_dump(make_settings(**changes)), 'f')


def test_all_faults_of_a_settings_file_are_reported_together():
    file = {
        'host': make_settings(node=7.5, zone=None, bounds={'leaseMs': 'x'}),
        'log': {'level': 'loud', 'lines_per_s': 0},
    }
    faults = settings.check_settings(yaml.safe_dump(file))
    places = [one.partition(':')[0] for one in faults]
    assert places == [
        'host.node', 'host.zone', 'host.bounds.leaseMs',
        'log.level', 'log.lines_per_s',
    ]  # fmt: skip


def test_settings_from_the_project_template_are_parsed():
    file = {'host': make_settings(), 'log': {'level': 'warning'}}
    found = settings.parse_settings(yaml.safe_dump(file), 'f')
    assert found.name == 'n'
    assert found.log.is_brief
    assert not settings.parse_settings(
        yaml.safe_dump(make_settings()), 'f'
    ).log.is_brief


FIELDS = st.sampled_from(
    ['node', 'listen', 'portRange', 'bounds', 'platform', 'limits'],
)


@given(FIELDS, JSON)
@example('limits', {'memoryMb': float('inf')})
@example('portRange', [])
def test_any_field_of_a_settings_file_is_parsed_or_rejected(name, content):
    text = yaml.safe_dump(make_settings(**{name: content}))
    with contextlib.suppress(SettingsError):
        settings.parse_settings(text, 'f')


@pytest.mark.parametrize(
    'text',
    ['host: 2001-13-45', 'host: !!bool x', 'host: !!timestamp x', '[' * 10_000],
)
def test_unparsable_settings_are_rejected(text):
    with pytest.raises(SettingsError):
        settings.parse_settings(text, 'f')


def test_a_filled_in_template_is_valid():
    root = PACKAGE.parent / 'deploy'
    text = (root / 'settings.yaml').read_text()
    filled = text.replace('{{.|json}}', json.dumps(make_settings()))
    assert settings.check_settings(filled) == []


def test_the_deploy_file_has_no_faults():
    text = (PACKAGE.parent / 'deploy/system.toml').read_text()
    assert deployfile.check_deploy(text) == []


@pytest.mark.parametrize(
    ('text', 'faults'),
    [
        ('x =', 1),
        ('build = ""', 1),
        ('[roles.a]\nrun = ""\nshare = 2.0\nserves = ["edgy"]', 5),
        ('build = ""\n[roles]\na = 1', 1),
        ('build = ""\n[roles.a]\nrun = "x"\non = "e"\nserves = ["edge"]', 1),
    ],
)
def test_all_faults_of_a_deploy_file_are_reported(text, faults):
    assert len(deployfile.check_deploy(text)) == faults


@given(st.text(max_size=200))
def test_any_settings_file_is_parsed_or_rejected(text):
    try:
        settings.parse_settings(text, 'f')
    except SettingsError as error:
        assert '\n' not in str(error)


def test_a_missing_settings_file_is_reported():
    with pytest.raises(SettingsError, match='no-such-file'):
        settings.read_settings('/no-such-file')
    with pytest.raises(SettingsError, match='NODE_FILE'):
        settings.find_file({})


# Configuration


def test_a_configuration_is_decoded():
    body = json.dumps(configuration(7)).encode()
    found = catalog.decode_configuration(body)
    assert found.version == 7
    batch = found.find_route('app.example', '/batch/x')
    assert batch.kind is RequestKind.stream
    assert batch.is_repeatable
    assert not found.find_route('app.example', '/chat/x').is_repeatable
    engine = found.engines['pool']
    assert engine.weight_bytes == 200 * 10**9
    assert found.find_workspace('key-of-team').name == 'team'
    assert found.find_workspace('other') is None


@given(JSON)
def test_any_configuration_is_decoded_or_rejected(content):
    body = json.dumps(content).encode('utf-8', 'replace')
    try:
        catalog.decode_configuration(body)
    except RecordError:
        return
    assert isinstance(content, dict)


# Targets


@given(st.binary(max_size=60) | JSON.map(lambda one: json.dumps(one).encode()))
def test_any_announcement_is_decoded_or_rejected(body):
    try:
        announcement = targets.decode_announcement('t', body)
    except RecordError:
        return
    assert announcement.address


@pytest.mark.parametrize('name', ['i-1\r\nHold: x', '', 'i-\u0663'])
def test_a_target_with_a_name_unfit_for_a_header_is_rejected(name):
    entry = {'service': 'pool', 'address': '10.0.0.1:80', 'state': 'ready'}
    body = json.dumps(entry).encode()
    assert targets.decode_announcement('i-1', body).name == 'i-1'
    with pytest.raises(RecordError):
        targets.decode_announcement(name, body)


@pytest.mark.parametrize(
    'address',
    [
        '10.0.0.1:99999', f'10.0.0.1:{"9" * 5000}', '10.0.0.1:\u0663',
        '10.0.0.1:', ':80', 'name:80', '',
    ],
)  # fmt: skip
def test_a_target_with_an_unusable_address_is_rejected(address):
    entry = {'service': 'pool', 'address': address, 'state': 'ready'}
    with pytest.raises(RecordError, match='t: '):
        targets.decode_announcement('t', json.dumps(entry).encode())


@given(st.binary(max_size=60) | JSON.map(lambda one: json.dumps(one).encode()))
def test_any_report_is_decoded_or_rejected(body):
    try:
        targets.decode_report(body)
    except TransportError:
        return


@given(st.binary(max_size=80))
def test_any_datagram_is_decoded_or_rejected(datagram):
    try:
        decode_message(datagram)
    except MalformedFrameError:
        return


# Requests and answers


def make_scope(headers, path='/a/b', query=b''):
    return {
        'method': 'POST',
        'headers': headers,
        'raw_path': path.encode(),
        'query_string': query,
    }


@given(
    st.lists(
        st.tuples(
            st.sampled_from([
                b'host', b'request-id', b'authorization', b'model',
                b'token-count', b'prompt-prefix', b'deadline-ms',
                b'length-hint', b'connection', b'x-other',
            ]),
            st.binary(max_size=20),
        ),
        max_size=12,
    ),
)  # fmt: skip
@example([(b'model', b'm1'), (b'token-count', b'\xb2,5')])
@example([(b'model', b'm1'), (b'token-count', b'%s,5' % (b'9' * 5000))])
@example(
    [(b'model', b'm'), (b'token-count', b'5,5'), (b'length-hint', b'\xb3')]
)
@example(
    [(b'model', b'm'), (b'token-count', b'5,5'), (b'prompt-prefix', b'a:\xb9')]
)
def test_any_headers_are_parsed_and_reserved_ones_not_forwarded(raw):
    request = ingress.parse_request(make_scope(raw), b'', 0)
    passed = {name for name, _ in request.headers}
    assert not passed & {b'authorization', b'deadline-ms', b'connection'}


def test_prompt_headers_are_parsed():
    raw = [
        (b'model', b'm1/a3'),
        (b'token-count', b'1460,80'),
        (b'prompt-prefix', b'5c:800,91:410,e4:250'),
        (b'length-hint', b'30'),
    ]
    found = ingress.parse_request(make_scope(raw), b'', 0).generation
    assert (found.model, found.adapter) == ('m1', 'a3')
    assert (found.prompt_tokens, found.max_output_tokens) == (1460, 80)
    assert found.likely_output_tokens == 30
    assert [part.tokens for part in found.prefix] == [800, 410, 250]


def make_request():
    route = Route(
        'r', 'h', '/', RequestKind.once, (WeightedService('s', 1),),
        4, 1, 1, 1, True, False,
    )  # fmt: skip
    return AdmittedRequest(
        'id-1', 'POST', b'/a?b=c',
        ((b'host', b'h'), (b'request-id', b'id-1'), (b'last-event-id', b'3')),
        b'body', route, 's', None, None, 0, 4,
    )  # fmt: skip


TARGET = KnownTarget(
    Announcement('i-1', 1, 's', '10.0.0.1:80', 'z', TargetState.ready, 4), {}
)


def classify(status, **headers):
    named = [
        (name.replace('_', '-').encode(), content.encode())
        for name, content in headers.items()
    ]
    return exchange.classify_answer(
        make_request(), TARGET, AnswerHead(status, named)
    )


@pytest.mark.parametrize(
    ('status', 'headers', 'verdict'),
    [
        (200, {'request_id': 'id-1'}, Verdict.answer),
        (404, {'request_id': 'id-1'}, Verdict.answer),
        (200, {'request_id': 'id-2'}, Verdict.crossed),
        (200, {}, Verdict.crossed),
        (500, {'request_id': 'id-1'}, Verdict.failed),
        (503, {'request_id': 'id-1', 'not_executed': '1'}, Verdict.not_run),
        (400, {'request_id': 'id-1', 'not_executed': '1'}, Verdict.not_run),
        (503, {'not_executed': '1'}, Verdict.crossed),
        (500, {}, Verdict.crossed),
        (503, {'request_id': 'id-1'}, Verdict.unclear),
        (429, {'request_id': 'id-1'}, Verdict.unclear),
        (
            421,
            {'request_id': 'id-1', 'instance_id': 'i-2'},
            Verdict.other_target,
        ),
        (421, {'request_id': 'id-1', 'instance_id': 'i-1'}, Verdict.absent),
        (421, {'instance_id': 'i-2'}, Verdict.crossed),
    ],
)
def test_answers_are_classified_by_their_head(status, headers, verdict):
    assert classify(status, **headers) is verdict


def test_a_resumed_request_names_the_last_event_once():
    request = exchange.encode_request(make_request(), TARGET, 1.5, b'7')
    assert request.startswith(b'POST /a?b=c HTTP/1.1\r\n')
    assert request.count(b'last-event-id') == 1
    assert b'last-event-id: 7\r\n' in request
    assert b'deadline-ms: 1500\r\n' in request
    assert request.endswith(b'content-length: 4\r\n\r\n')


# The store


@given(st.binary(max_size=40))
@example(b'gone')
def test_any_body_of_a_gap_answer_raises_a_log_service_error(body):
    answer = httpcore.Response(410, content=body)
    answer.read()
    with pytest.raises(LogServiceError):
        store._raise_for_status(answer, '/log-read')


def test_the_store_client_against_the_stand_in():
    async def run_client():
        platform_store = PlatformStore()

        async def serve(stream):
            await serve_store(platform_store, stream)

        async with anyio.create_task_group() as group:
            address = await listen(serve, group)
            async with HttpClient() as http:
                client = store.StoreClient(address, http)
                await _use(client, platform_store)
            group.cancel_scope.cancel()

    async def _use(client, platform_store):
        both = (('a', b'1'), ('b', b'2'))
        assert await client.append('own', 1, both) == Appended(0)
        assert await client.append('own', 1, (('a', b'3'),), 2) == Appended(2)
        page = await client.read_newest('own', 1)
        assert {one.key: one.value for one in page.records} == {
            'a': b'3',
            'b': b'2',
        }
        assert page.next_offset == 3
        await client.append('own', 1, (('b', None),))
        page = await client.read_since('own', 1, 2, 1)
        assert [(one.key, one.value) for one in page.records] == [
            ('a', b'3'),
            ('b', None),
        ]
        empty = await client.read_since('own', 1, 4, 0.05)
        assert empty.records == ()
        platform_store.is_down = True
        with pytest.raises(LogRefusedError):
            await client.read_newest('own', 1)

    anyio.run(run_client)


@given(st.binary(max_size=60))
def test_any_page_of_the_store_is_split_without_an_error(body):
    for record in store._split_records(bytes(16) + body):
        store._translate_record(record, 0)


def test_messages_are_unchanged_by_encoding_and_decoding():
    from ebonywell.digests import (
        Digest,
        DigestMessage,
        UsageShare,
        encode_message,
    )

    digest = Digest(
        'n', 1, 2, 'a:1', 'a:2', 'z', True, 3, 4, True, False, 5,
        usage=(UsageShare('w', (1, 2), 3),),
    )  # fmt: skip
    message = DigestMessage(digest)
    assert decode_message(encode_message(message)) == message
    assert msgspec.to_builtins(digest)


def test_a_directory_answer_lists_a_limited_number_of_hosts():
    addresses = [f'ip:{number}' for number in range(80)]
    answer = ingress.directory_answer(addresses, 1)
    assert answer['addresses'] == addresses[: ingress.MAX_ADDRESSES]
