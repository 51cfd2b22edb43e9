"""The bench of added time sends the calls it was given and counts them."""

import anyio
import pytest

from ebonywell import catfile
from lab import added_time
from lab.added_worker import WorkerTask, run_callers
from lab.deployment import Deployment, wait_until
from lab.shape import ENGINE_MEMORY_BYTES, Shape

SHAPE = Shape(entries=0, engines=('engine-1',), services=(), token_ms=0)
LOAD = {
    'order_id': 'a',
    'fencing': 1,
    'action': 'load',
    'model': 'quote-1',
    'bytes': 1,
}


def test_catalogue_gives_each_engine_one_model():
    text = added_time.catalogue_text(added_time.MODELS)
    entries = catfile.parse(text).entries
    assert len(entries) == len(added_time.ENGINES)
    assert all(2 * entry.bytes > ENGINE_MEMORY_BYTES for entry in entries)


@pytest.mark.parametrize(
    ('model', 'streams'),
    [('quote-1', True), ('quote-1', False), ('missing', True)],
)
def test_worker_counts_whole_answers_only(model, streams):
    async def scenario():
        async with Deployment(SHAPE) as deployment:
            engine = deployment.targets['engine-1']
            ask = deployment.client.ask
            await ask('POST', f'{engine.url}/orders', {}, LOAD)

            async def is_loaded():
                order = await ask('GET', f'{engine.url}/orders/a')
                return order.json()['state'] == 'done'

            await wait_until(is_loaded, 'model loaded')
            task = WorkerTask(engine.address, model, 2, 0.2, 3, streams)
            counts = await run_callers(task, '')
            journal = await deployment.read_journal('engine-1')
            return counts, [one['finished'] for one in journal]

    counts, finished = anyio.run(scenario)
    assert counts.answers == sum(finished)
    assert counts.failures == len(finished) - sum(finished)
    assert counts.chunks == 3 * counts.answers * streams
    assert bool(counts.answers) == (model == 'quote-1')
