"""A host that is cut off from the log, from its peers, and from both."""

import anyio
import pytest

from lab.client import bearer
from lab.deployment import Deployment, wait_until
from lab.shape import Shape

SHAPE = Shape(entries=3, entry_flags=('--allow-faults',))
PAST_STALENESS_S = 6


async def cut(deployment, **links):
    """Cut links of the third entry process."""
    url = deployment.entries['entry-3'].url
    await deployment.client.ask('POST', f'{url}/debug/links', body=links)


async def look_up(deployment, key):
    """Return the error code of a look-up there, empty if it ran."""
    url = deployment.entries['entry-3'].url
    answer = await deployment.client.ask(
        'GET',
        f'{url}/v1/services/stock/coil',
        bearer(key),
    )
    return answer.json().get('error', {}).get('code', '')


async def become(deployment, key, code):
    """Wait until a look-up ends with a code."""

    async def is_told():
        return await look_up(deployment, key) == code

    await wait_until(is_told, f'{code or "answered"} at the cut host')


@pytest.mark.parametrize('is_log_up', [True, False])
def test_a_withdrawal_reaches_a_host_that_only_peers_can_reach(is_log_up):
    async def story():
        async with Deployment(SHAPE) as deployment:
            await deployment.apply_catalogue()
            kept = await deployment.operator.issue_key('counter')
            lost = await deployment.operator.issue_key('counter')
            await become(deployment, lost.key, '')
            await cut(deployment, log=True)
            await anyio.sleep(PAST_STALENESS_S)
            assert await look_up(deployment, lost.key) == ''
            if not is_log_up:
                await deployment.set_fault('log', 'outage')
            first = deployment.entries['entry-1'].url
            deployment.operator.urls = [first].copy
            await deployment.operator.run('key', 'withdraw', lost.key_id)
            await become(deployment, lost.key, 'key_withdrawn')
            assert await look_up(deployment, kept.key) == ''

    anyio.run(story)


def test_a_host_cut_off_from_all_refuses_until_it_is_back():
    async def story():
        async with Deployment(SHAPE) as deployment:
            await deployment.apply_catalogue()
            issued = await deployment.operator.issue_key('counter')
            await become(deployment, issued.key, '')
            peers = ['entry-1', 'entry-2']
            await cut(deployment, log=True, drop=peers, refuse=peers)
            await become(deployment, issued.key, 'host_out_of_date')
            await cut(deployment)
            await become(deployment, issued.key, '')

    anyio.run(story)
