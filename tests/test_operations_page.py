"""OPERATIONS.md lists every event, metric and failure reason of the code."""

import re
from pathlib import Path

ROOT = Path(__file__).parents[1]
PAGE = (ROOT / 'docs/OPERATIONS.md').read_text()
MODULES = (
    'adapterloads feedrelay following gateway gossip holderlink hostfeeds '
    'attempts hostprocess leadership linelog ordering provisioning '
    'peerforwarding proxying roster '
    'targetlimits storeeras streamorigins streamrecords '
    'origins/defaults '
    'callerconnection charging crashdetector crashguard supervision targeting '
    'headroom/gate '
    'platform/assembly evacuation/records pace/sharing prefixcache/index'
).split()
EVENT = re.compile(
    r"(?:\blog|self\._add|self\._log_rarely)\(\s*'(\w+)'|"
    r"'(orders_\w+)' (?:if|else)|"
    r"else '(orders_\w+)'",
)


def sources():
    return [(ROOT / f'ebonywell/{name}.py').read_text() for name in MODULES]


def test_page_lists_every_event():
    found = EVENT.findall('\n'.join(sources()))
    events = {name for names in found for name in names if name}
    assert len(events) > 40
    table = PAGE[PAGE.index('## Events') : PAGE.index('## Numbers')]
    rows = [line.split('|')[1] for line in table.splitlines()[3:] if line]
    named = {name.strip(' `') for row in rows for name in row.split(',')}
    assert named == events


def test_page_lists_every_metric():
    texts = [
        (ROOT / f'ebonywell/{name}.py').read_text()
        for name in ('hostgauges', 'pace/gauges')
    ]
    gauges = re.findall(r"sink\.gauge\(\s*'(\w+)'", '\n'.join(texts))
    table = PAGE[PAGE.index('## Numbers') :]
    assert len(gauges) > 12
    for name in gauges:
        assert name in table


def test_page_lists_every_reason():
    table = PAGE[PAGE.index('## Reasons') : PAGE.index('## Alerts')]
    reasons = {
        reason
        for text in sources()
        for reason in re.findall(
            r"(?:TryError|RejectionError)\(\s*(?:\w+,\s*)?'(\w+)'", text
        )
    }
    reasons -= {'stream_broken'}
    assert reasons
    for reason in reasons:
        assert reason in table, reason


def test_page_lists_every_reason_of_ended_connections():
    begin = PAGE.index('## Connections that a host ends')
    table = PAGE[begin : PAGE.index('## Events')]
    texts = [
        (ROOT / f'ebonywell/{name}.py').read_text()
        for name in (
            'callerconnection',
            'callers',
            'requestprogress',
            'slowcallers/backlog',
        )
    ]
    reasons = set(
        re.findall(
            r"(?:reject|cut)\((?:\s*HTTPStatus\.\w+,)?\s*'(\w+)'"
            r"|return '(\w+)'",
            '\n'.join(texts),
        )
    )
    named = {one for pair in reasons for one in pair if one}
    assert len(named) > 9
    for reason in named - {'idle'}:
        assert reason in table, reason
