"""Planned stop: which requests may still begin, and its deadlines."""

import random

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ebonywell import hostprocess
from ebonywell.hostsettings import Bounds, HostSettings
from ebonywell.logs import discard_event
from ebonywell.platform.assembly import make_translators
from ebonywell.shutdown import STOP_MARGIN_SHARE, Shutdown

SECONDS = st.floats(0, 60)


class Clock:
    """A fake clock that only sleep advances."""

    def __init__(self):
        self.now = 100.0

    def read(self):
        return self.now

    async def sleep(self, lasting_s):
        self.now += lasting_s


def test_before_a_stop_all_requests_are_served():
    shutdown = Shutdown()
    assert shutdown.may_serve(1e9, 2e9)
    assert shutdown.age_s(1e9) is None


@given(grace_s=SECONDS, age_s=SECONDS, length_s=SECONDS)
def test_requests_accepted_late_in_a_stop_end_before_the_abort(
    grace_s, age_s, length_s
):
    shutdown = Shutdown()
    shutdown.begin(100, grace_s)
    now = 100 + age_s
    if not shutdown.may_serve(now, now + length_s):
        return
    is_early = age_s <= min(3, grace_s / 2)
    left_s = grace_s * (1 - STOP_MARGIN_SHARE)
    assert is_early or age_s + length_s <= left_s + 1e-9


@pytest.mark.parametrize(
    ('age_s', 'length_s', 'is_served'),
    [(0, 15, True), (2.5, 15, True), (3.5, 15, False), (3.5, 3, True)],
)
def test_late_in_a_stop_only_requests_that_end_in_time_are_served(
    age_s, length_s, is_served
):
    shutdown = Shutdown()
    shutdown.begin(100, 8)
    now = 100 + age_s
    assert shutdown.may_serve(now, now + length_s) is is_served
    assert shutdown.age_s(now) == age_s


@pytest.mark.parametrize('grace_s', [4, 6, 8, 30])
def test_requests_are_aborted_in_the_last_sixth_with_time_to_close(grace_s):
    shutdown = Shutdown()
    shutdown.begin(100, grace_s)
    assert (
        grace_s * 5 / 6
        <= shutdown.aborts_at - 100
        <= grace_s - hostprocess.CLOSE_TIMEOUT_S
    )


@pytest.mark.parametrize(('grace_s', 'lasting_s'), [(8, 2.8), (4, 1.85)])
def test_half_of_a_short_grace_period_is_left_for_late_requests_to_end(
    grace_s, lasting_s
):
    shutdown = Shutdown()
    shutdown.begin(100, grace_s)
    assert shutdown.serves_all_until == 100 + lasting_s


@pytest.mark.parametrize(('grace_s', 'lasting_s'), [(8, 3.2), (2, 1.85)])
def test_a_slow_release_of_the_lease_does_not_prolong_a_stop(
    monkeypatch, grace_s, lasting_s
):
    clock = Clock()
    monkeypatch.setattr(hostprocess, 'boot_time', clock.read)
    settings = HostSettings(
        name='one', ip='127.0.0.1', zone='z', region='r',
        caller_address='127.0.0.1:1', ready_address='127.0.0.1:2',
        directory_address='127.0.0.1:3', first_internal_port=4, memory_bytes=5,
        store_address='127.0.0.1:6', bounds=Bounds(grace_s=grace_s),
    )  # fmt: skip
    host = hostprocess.HostProcess(
        settings,
        None,
        make_translators(None, 'host-1'),
        discard_event,
        random.Random(1),
    )

    async def release():
        await clock.sleep(1)

    host.leadership.release = release
    monkeypatch.setattr(anyio, 'sleep', clock.sleep)
    anyio.run(host.stop)
    assert clock.now == pytest.approx(100 + lasting_s)
