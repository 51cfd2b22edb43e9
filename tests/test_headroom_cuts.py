"""Tests how many requests of workspaces above their share are turned away."""

from hypothesis import given
from hypothesis import strategies as st

from ebonywell.headroom.cuts import Cuts


def note(cuts, times, *, has_room, rank=1):
    for _ in range(times):
        cuts.note('s', rank, has_room=has_room)


def test_nothing_is_cut_while_the_others_find_room():
    cuts = Cuts()
    note(cuts, 50, has_room=True)
    assert cuts.share('s', 1, 7) == 0
    assert cuts.share('other', 1, 7) == 0


def test_a_workspace_keeps_its_usual_share():
    cuts = Cuts()
    note(cuts, 50, has_room=False)
    assert cuts.share('s', 1, 4) == 0.75
    assert cuts.share('s', 1, 1) == 0


def test_the_cut_ends_once_the_others_find_room():
    cuts = Cuts()
    note(cuts, 50, has_room=False)
    note(cuts, 20, has_room=True)
    assert round(cuts.share('s', 1, 7), 9) == 0


def test_urgent_requests_are_not_cut_for_less_urgent_ones():
    cuts = Cuts()
    note(cuts, 50, has_room=False, rank=1)
    assert cuts.share('s', 0, 7) == 0
    assert cuts.share('s', 2, 7) > 0.8


@given(st.lists(st.booleans()), st.floats(0, 1000))
def test_the_share_has_bounds(found, excess):
    cuts = Cuts()
    for has_room in found:
        note(cuts, 1, has_room=has_room)
    assert 0 <= cuts.share('s', 1, excess) <= 1
