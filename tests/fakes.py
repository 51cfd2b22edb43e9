"""Small fakes that tests of several modules share."""

import msgspec

from .fakelog import FakeLog, FakeLogClient


class MemoryLog(FakeLogClient):
    """A log of its own in the place of a client of the log service.

    Set `is_cut` to refuse everything, `log.lost_replies` to keep records and
    then fail to say so.
    """

    def __init__(self):
        super().__init__(FakeLog())

    @property
    def records(self):
        """All records of the log, to look at or to add to."""
        return self.log.records


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
