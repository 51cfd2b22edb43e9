"""The state does not depend on the checkpoint from which a host started."""

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from ebonywell import changes, records, state
from ebonywell.types import EntryKind

NAMES = st.sampled_from(['a', 'b', 'c'])
REVISIONS = st.integers(0, 12)

BODIES = st.one_of(
    st.builds(
        changes.EntrySet,
        st.builds(changes.Entry, NAMES, st.sampled_from(EntryKind)),
        REVISIONS,
    ),
    st.builds(changes.EntryRemoved, NAMES, REVISIONS),
    st.builds(
        changes.WorkspaceSet,
        st.builds(
            changes.Workspace,
            NAMES,
            st.floats(1, 100),
            st.floats(1, 100),
        ),
        REVISIONS,
    ),
    st.builds(changes.WorkspaceRemoved, NAMES, REVISIONS),
    st.builds(changes.ApprovalSet, NAMES, NAMES, st.booleans(), REVISIONS),
    st.builds(changes.KeyIssued, NAMES, NAMES, NAMES),
    st.builds(changes.KeyWithdrawn, NAMES),
)


def replay(built, bodies, first):
    """Encode the bodies as JSON and apply them from an offset on."""
    for offset, body in enumerate(bodies, first):
        record = records.make_record(body, 'h', offset)
        parsed = msgspec.json.decode(msgspec.json.encode(record))
        state.apply_record(built, offset, records.parse_record(parsed))
    return built


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.lists(BODIES, max_size=25), st.integers(0, 25))
def test_a_checkpoint_at_any_offset_leads_to_the_same_state(bodies, cut):
    whole = replay(state.State(), bodies, 0)
    begun = replay(state.State(), bodies[:cut], 0)
    resumed = state.decode_state(state.encode_state(begun))
    assert replay(resumed, bodies[cut:], min(cut, len(bodies))) == whole


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.lists(BODIES, max_size=25))
def test_a_withdrawn_key_stays_withdrawn(bodies):
    built = state.State()
    withdrawn = set()
    for offset, body in enumerate(bodies):
        replay(built, [body], offset)
        keys = built.catalogue.keys.items()
        now = {digest for digest, key in keys if key.withdrawn}
        assert withdrawn <= now
        withdrawn = now
