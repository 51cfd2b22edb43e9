"""Writes down exchanges with an entry process, alike on every run."""

import os
import re
from pathlib import Path

import msgspec

from lab.client import Answer, bearer

GOLDEN = Path(__file__).with_name('golden')
UPDATE = 'EBONYWELL_UPDATE_GOLDEN'
_HIDDEN_HEADERS = {'date', 'server', 'content-length', 'transfer-encoding'}
_SAME = (
    (re.compile(r'127\.0\.0\.1:\d+'), '<address>'),
    (re.compile(r'\b[0-9a-f]{32}\b'), '<id>'),
    (re.compile(r'\b(engine|orders|stock|notices)-\d\b'), r'<\1 target>'),
    (re.compile(r'"run":\d+'), '"run":<n>'),
    (re.compile(r'"created":\d+'), '"created":<time>'),
    (re.compile(r'chatcmpl-[0-9A-Za-z-]+'), 'chatcmpl-<id>'),
)


class Session:
    """A caller's exchanges with one entry process, written down."""

    def __init__(self, client, url, keys):
        self.client = client
        self.url = url
        self.keys = keys
        self.lines = []

    async def say(
        self,
        method,
        path,
        body=None,
        key='',
        headers=(),
        meanwhile=None,
    ):
        """Send a request, write down both sides, and return the answer.

        `meanwhile` is awaited once the answer's first part is there; the
        parts after that one differ from run to run, so that only the first
        and the last event are written down.
        """
        sent = dict(headers)
        if key:
            sent.update(bearer(self.keys.get(key, key)))
        self._write_request(method, path, body, key, headers)
        async with self.client.stream(
            method,
            f'{self.url}{path}',
            sent,
            body,
        ) as stream:
            parts = []
            async for part in stream.chunks():
                parts.append(part)
                if meanwhile is not None and len(parts) == 1:
                    await meanwhile()
        text = b''.join(parts).decode()
        if meanwhile is not None:
            events = [event for event in text.split('\n\n') if event.strip()]
            text = f'{events[0]}\n...\n{events[-1]}\n'
        self._write_answer(stream, text)
        return Answer(stream.status, stream.headers, b''.join(parts))

    def check(self, name):
        """Compare the session with the golden file of that name."""
        text = '\n'.join(self.lines)
        for pattern, same in _SAME:
            text = pattern.sub(same, text)
        path = GOLDEN / f'{name}.txt'
        if os.environ.get(UPDATE):
            path.write_text(text)
        assert text == path.read_text()

    def _write_request(self, method, path, body, key, headers):
        self.lines.append(f'> {method} {path}')
        if key:
            self.lines.append(f'> authorization: Bearer <key: {key}>')
        for name, text in headers:
            self.lines.append(f'> {name}: {text}')
        if isinstance(body, bytes):
            shown = body.decode()
            self.lines.append(f'> {shown[:60]}{"..." * (len(shown) > 60)}')
        elif body is not None:
            self.lines.append(f'> {msgspec.json.encode(body).decode()}')

    def _write_answer(self, stream, text):
        self.lines.append(f'< {stream.status}')
        for name in sorted(set(stream.headers) - _HIDDEN_HEADERS):
            self.lines.append(f'< {name}: {stream.headers[name]}')
        self.lines.extend(f'< {line}'.rstrip() for line in text.split('\n'))
        self.lines.append('')
