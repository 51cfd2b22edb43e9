"""Services of a host that fail while it serves."""

import anyio

from ebonywell import supervision


def test_a_service_that_fails_ends_nothing_and_is_started_again(monkeypatch):
    monkeypatch.setattr(supervision, 'RESTART_S', 0)
    events = []
    ended = anyio.Event()

    def log(event, /, **fields):
        events.append((event, fields['service']))

    async def fail_once():
        if not events:
            raise OverflowError('port must be 0-65535')
        ended.set()
        await anyio.sleep_forever()

    async def run():
        async with anyio.create_task_group() as group:
            group.start_soon(supervision.supervise, 'gossip', fail_once, log)
            with anyio.fail_after(5):
                await ended.wait()
            group.cancel_scope.cancel()

    anyio.run(run)
    assert events == [('service_failed', 'gossip')]
