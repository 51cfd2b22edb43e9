"""Tests of answers that are being sent while the host's state gets stale."""

import anyio
import msgspec
import pytest

from ebonywell.answers import RefusedError
from ebonywell.limits import stale_refusal
from ebonywell.reply import Reply
from ebonywell.types import RunState


class Caller:
    """Records what a host sends to a caller; the host's state may get stale."""

    def __init__(self):
        self.sent = []
        self.is_stale = False
        self.reply = Reply(self.receive, 'r1')
        self.reply.check = self.check

    async def receive(self, message):
        """Receive an ASGI message."""
        self.sent.append(message)

    def check(self):
        """Raise the error of a host with stale state."""
        if self.is_stale:
            raise stale_refusal()

    def body(self):
        """Return all bytes of the answer's body."""
        return b''.join(message.get('body', b'') for message in self.sent)


@pytest.fixture
def caller():
    """Return a caller of a host with fresh state."""
    return Caller()


async def send_then_refuse(reply, job, *arguments):
    """Send an error in the middle of an answer, as `Calls` does."""
    with pytest.raises(RefusedError) as caught:
        await job(*arguments)
    assert caught.value.refusal.run_state == RunState.unknown
    await reply.refuse(caught.value.refusal)


def test_a_host_with_stale_state_does_not_send_a_whole_answer(caller):
    caller.is_stale = True
    anyio.run(
        send_then_refuse,
        caller.reply,
        caller.reply.whole,
        200,
        [],
        b'a coil',
    )
    error = msgspec.json.decode(caller.body())['error']
    assert (error['code'], error['run_state']) == (
        'host_out_of_date',
        'unknown',
    )
    assert b'a coil' not in caller.body()


def test_a_host_with_stale_state_ends_a_stream_with_an_error(caller):
    async def scenario():
        await caller.reply.start_events(200, [])
        await caller.reply.chunk(b'data: 1\n\n')
        caller.is_stale = True
        reply = caller.reply
        await send_then_refuse(reply, reply.chunk, b'data: 2\n\n')

    anyio.run(scenario)
    assert b'data: 1' in caller.body()
    assert b'data: 2' not in caller.body()
    assert b'host_out_of_date' in caller.body()
    assert caller.sent[-1]['more_body'] is False
