"""Fixtures that several test modules share."""

import pytest
from anyio.from_thread import start_blocking_portal

from lab.deployment import Deployment
from lab.shape import Shape
from lab.up import fill_sample

MAX_BODY_BYTES = 65_536


class Running:
    """A deployment that runs beside the tests."""

    def __init__(self, portal, deployment, overview):
        self.portal = portal
        self.deployment = deployment
        self.overview = overview

    def run(self, story, *arguments):
        """Run an asynchronous story where the deployment's sockets live."""
        return self.portal.call(story, *arguments)


@pytest.fixture(scope='session')
def running():
    """Start the sample deployment once for all tests."""
    shape = Shape(entry_flags=(f'--max-body-bytes={MAX_BODY_BYTES}',))
    with start_blocking_portal() as portal:
        started = Deployment(shape)
        with portal.wrap_async_context_manager(started) as deployment:
            overview = portal.call(fill_sample, deployment)
            yield Running(portal, deployment, overview)
