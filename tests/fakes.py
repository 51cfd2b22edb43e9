"""Small fakes that tests of several modules share."""

import anyio
import msgspec

from ebonywell import logclient
from ebonywell.exceptions import LogOutageError


class MemoryLog:
    """A log in memory in the place of a client of the log service.

    Set `is_down` to refuse everything, `loses_replies` to keep records and
    then fail to say so.
    """

    def __init__(self):
        self.records = []
        self.is_down = False
        self.loses_replies = False
        self.appended = anyio.Event()

    async def __aenter__(self):
        return self

    async def __aexit__(self, *_):
        """Leave the records where they are."""

    async def append(self, records):
        self._check()
        self.records.extend(records)
        self.appended.set()
        self.appended = anyio.Event()
        if self.loses_replies:
            raise LogOutageError('the reply was lost')
        return len(self.records) - len(records)

    async def read(self, offset, wait_s=0):
        self._check()
        if len(self.records) <= offset:
            with anyio.move_on_after(wait_s):
                await self.appended.wait()
        stored = [
            logclient.Stored(offset + index, record)
            for index, record in enumerate(self.records[offset:])
        ]
        return logclient.Page(0, len(self.records), tuple(stored))

    def _check(self):
        if self.is_down:
            raise LogOutageError('the log is down')


async def ask(app, method, path, content=b'', token='', query=''):
    """Call an ASGI application and return the status and parsed JSON."""
    scope = {
        'type': 'http',
        'method': method,
        'path': path,
        'query_string': query.encode(),
        'headers': [(b'authorization', f'Bearer {token}'.encode())],
    }
    sent = []

    async def receive():
        return {'type': 'http.request', 'body': content, 'more_body': False}

    async def send(message):
        sent.append(message)

    await app(scope, receive, send)
    body = b''.join(message.get('body', b'') for message in sent)
    return sent[0]['status'], msgspec.json.decode(body)
