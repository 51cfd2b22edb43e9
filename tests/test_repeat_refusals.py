"""What a caller gets whose request may not be repeated."""

from dataclasses import replace
from types import SimpleNamespace

import anyio
import pytest

from ebonywell.clock import boot_time
from ebonywell.crashguard import CRASHES_TARGETS
from ebonywell.inbound import RejectionError
from ebonywell.logs import discard_event
from ebonywell.progress import AttemptError, Progress, make_truthful
from ebonywell.proxying import Proxy

from .guardworld import ROUTE, make_request


async def serve(rejection):
    """Return the rejection of a request whose first attempt broke off."""

    async def admit(request):
        raise rejection

    async def run(request, responder, progress, selected):
        progress.note_sent()
        settled = anyio.Event()
        settled.set()
        progress.breakage = SimpleNamespace(settled=settled)
        raise AttemptError('broken', has_run=True)

    proxy = Proxy(
        SimpleNamespace(run=run),
        lambda service: SimpleNamespace(count_request=lambda now: None),
        None,
        SimpleNamespace(admit=admit, end_trial=lambda trial: None),
        SimpleNamespace(is_needed=lambda request: False),
        discard_event,
    )
    request = replace(
        make_request(route=replace(ROUTE, is_resumable=True, max_runs=2)),
        deadline=boot_time() + 4,
    )
    progress = Progress()
    with pytest.raises(RejectionError) as caught:
        await proxy.serve(request, None, progress, ('desk-1', None))
    return make_truthful(caught.value, progress)


# Guards against a sound request that gets 400, which callers don't repeat,
# while it is only presumed to crash targets.
@pytest.mark.parametrize(('stated', 'sent'), [(503, 502), (400, 400)])
def test_a_request_that_is_presumed_to_crash_targets_may_be_sent_again(
    stated, sent
):
    rejection = RejectionError(stated, CRASHES_TARGETS)
    assert anyio.run(serve, rejection).status == sent
