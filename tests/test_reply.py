"""Answers on their way to a caller while the host goes out of date."""

import anyio
import msgspec
import pytest

from ebonywell.answers import RefusedError
from ebonywell.limits import stale_refusal
from ebonywell.reply import Reply
from ebonywell.types import RunState


class Caller:
    """What a caller was sent, by a host that may go out of date."""

    def __init__(self):
        self.sent = []
        self.is_stale = False
        self.reply = Reply(self.receive, 'r1')
        self.reply.check = self.check

    async def receive(self, message):
        """Take a message of ASGI."""
        self.sent.append(message)

    def check(self):
        """Raise as the edge does on a host that is out of date."""
        if self.is_stale:
            raise stale_refusal()

    def body(self):
        """Return all bytes of the answer's body."""
        return b''.join(message.get('body', b'') for message in self.sent)


@pytest.fixture
def caller():
    """Make a caller of a host that is up to date."""
    return Caller()


async def pass_over_to_refusal(reply, job, *arguments):
    """Do as the calls do when a refusal comes in mid-answer."""
    with pytest.raises(RefusedError) as caught:
        await job(*arguments)
    assert caught.value.refusal.run_state == RunState.unknown
    await reply.refuse(caught.value.refusal)


def test_a_host_that_was_frozen_does_not_pass_on_a_whole_answer(caller):
    caller.is_stale = True
    anyio.run(
        pass_over_to_refusal,
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


def test_a_host_that_was_frozen_ends_a_stream_with_an_error(caller):
    async def story():
        await caller.reply.start_events(200, [])
        await caller.reply.chunk(b'data: 1\n\n')
        caller.is_stale = True
        reply = caller.reply
        await pass_over_to_refusal(reply, reply.chunk, b'data: 2\n\n')

    anyio.run(story)
    assert b'data: 1' in caller.body()
    assert b'data: 2' not in caller.body()
    assert b'host_out_of_date' in caller.body()
    assert caller.sent[-1]['more_body'] is False
