"""A planned stop: which requests may still begin in it."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ebonywell.shutdown import STOP_MARGIN_SHARE, Shutdown

SECONDS = st.floats(0, 60)


def test_before_a_stop_all_requests_are_served():
    shutdown = Shutdown()
    assert shutdown.may_serve(1e9, 2e9)
    assert shutdown.age_s(1e9) is None


@given(grace_s=SECONDS, age_s=SECONDS, length_s=SECONDS)
def test_no_request_that_begins_late_in_a_stop_outlasts_it(
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
def test_late_in_a_stop_only_what_ends_in_time_is_served(
    age_s, length_s, is_served
):
    shutdown = Shutdown()
    shutdown.begin(100, 8)
    now = 100 + age_s
    assert shutdown.may_serve(now, now + length_s) is is_served
    assert shutdown.age_s(now) == age_s


def test_a_host_at_the_end_of_its_grace_period_has_a_second_to_exit():
    shutdown = Shutdown()
    shutdown.begin(100, 8)
    assert shutdown.cut_at == 107
