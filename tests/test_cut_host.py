"""A host that is cut off from the log, from its peers, and from both."""

import anyio
import pytest

from lab.client import bearer
from lab.deployment import Deployment, wait_until
from lab.shape import Shape

SHAPE = Shape(entries=3, entry_flags=('--allow-faults',))
BEYOND_STALENESS_S = 6


async def cut(deployment, **links):
    """Cut links of the third entry process, and restore all others."""
    url = deployment.entries['entry-3'].url
    await deployment.client.ask('POST', f'{url}/debug/links', body=links)


async def look_up(deployment, key):
    """Send a look-up to that process; return its error code, or nothing."""
    url = deployment.entries['entry-3'].url
    answer = await deployment.client.ask(
        'GET',
        f'{url}/v1/services/stock/coil',
        bearer(key),
    )
    return answer.json().get('error', {}).get('code', '')


async def wait_for_code(deployment, key, code):
    """Wait until a look-up ends with an error code, or without one."""

    async def has_code():
        return await look_up(deployment, key) == code

    await wait_until(has_code, f'{code or "answered"} at the cut host')


@pytest.mark.parametrize('is_log_up', [True, False])
def test_a_withdrawal_reaches_a_host_that_only_peers_can_reach(is_log_up):
    async def play():
        async with Deployment(SHAPE) as deployment:
            await deployment.apply_catalogue()
            kept = await deployment.operator.issue_key('counter')
            withdrawn = await deployment.operator.issue_key('counter')
            await wait_for_code(deployment, withdrawn.key, '')
            await cut(deployment, log=True)
            await anyio.sleep(BEYOND_STALENESS_S)
            assert await look_up(deployment, withdrawn.key) == ''
            if not is_log_up:
                await deployment.set_fault('log', 'outage')
            first = deployment.entries['entry-1'].url
            deployment.operator.urls = [first].copy
            await deployment.operator.run('key', 'withdraw', withdrawn.key_id)
            await wait_for_code(deployment, withdrawn.key, 'key_withdrawn')
            assert await look_up(deployment, kept.key) == ''

    anyio.run(play)


def test_a_host_that_is_cut_off_rejects_requests_until_reconnected():
    async def play():
        async with Deployment(SHAPE) as deployment:
            await deployment.apply_catalogue()
            issued = await deployment.operator.issue_key('counter')
            await wait_for_code(deployment, issued.key, '')
            peers = ['entry-1', 'entry-2']
            await cut(deployment, log=True, drop=peers, refuse=peers)
            await wait_for_code(deployment, issued.key, 'host_out_of_date')
            await cut(deployment)
            await wait_for_code(deployment, issued.key, '')

    anyio.run(play)
