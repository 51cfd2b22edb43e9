"""Small fakes shared by several test modules."""

import msgspec

from .fakelog import FakeLog, FakeLogClient


class MemoryLog(FakeLogClient):
    """In-memory log that replaces a client of the log service.

    Set `is_cut` to reject all calls. Set `log.lost_replies` to store records
    and then lose the replies.
    """

    def __init__(self):
        super().__init__(FakeLog())

    @property
    def records(self):
        """The list of all records of the log, which tests may extend."""
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
