"""The request path of a host, with its parts replaced."""

import anyio
import pytest

from ebonywell.gateway import Gateway
from ebonywell.inbound import RejectionError
from ebonywell.intake import Arrival
from ebonywell.metrics import Metrics
from ebonywell.modeldemand import DemandBook

ARRIVAL = Arrival(
    'id-1', 'GET', 'app.example', b'/look/1', None, (), 100, b'', 2.0, None, 0,
)  # fmt: skip


class FailingIntake:
    """Raises what nobody expects."""

    version = 1

    def admit(self, arrival):
        raise ZeroDivisionError


def test_an_unexpected_error_is_logged_and_answered_as_not_run():
    events = []

    def log(event, /, **fields):
        events.append((event, fields))

    gateway = Gateway(
        FailingIntake(), None, None, None, None, DemandBook(), log, Metrics(),
    )  # fmt: skip
    with pytest.raises(RejectionError) as caught:
        anyio.run(gateway.serve, ARRIVAL, None, anyio.sleep_forever)
    assert caught.value.status == 503
    assert [event for event, _ in events] == ['request_failed', 'request_ended']
    assert 'ZeroDivisionError' in events[0][1]['trace']
