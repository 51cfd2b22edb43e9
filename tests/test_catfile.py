"""Catalogue files: every fault is reported with its place, in one error."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ebonywell import catfile
from ebonywell.exceptions import CatalogueFileError

GOOD = """
[[entry]]
name = "quote"
kind = "model"
class = "interactive"
bytes = 10
adapters = [{ name = "coil", bytes = 2 }]

[[entry]]
name = "orders"
kind = "service"
idempotent = false
targets = ["desk-1"]

[[workspace]]
name = "counter"
rate = 100
burst = 200

[[approval]]
workspace = "counter"
entry = "quote"
"""


@pytest.fixture
def faults_after():
    """Read the good file with one text replaced and return its faults."""

    def read(old, new):
        assert old in GOOD
        with pytest.raises(CatalogueFileError) as caught:
            catfile.parse(GOOD.replace(old, new))
        return caught.value.args

    return read


def test_a_good_file_is_read_completely():
    desired = catfile.parse(GOOD)
    assert [entry.name for entry in desired.entries] == ['quote', 'orders']
    assert desired.entries[0].adapters[0].bytes == 2
    assert desired.workspaces[0].burst == 200
    assert desired.approvals == (catfile.Approval('counter', 'quote'),)


@pytest.mark.parametrize(
    ('old', 'new', 'place', 'reason'),
    [
        ('entry = "quote"', 'entry = "qote"', 'approval 1', "'qote'"),
        ('space = "counter"', 'space = "x"', 'approval 1', "workspace 'x'"),
        ('rate = 100', 'rate = nan', "workspace 1 'counter'", 'rate must'),
        ('rate = 100', 'rate = 0', "workspace 1 'counter'", 'rate must'),
        ('rate = 100', 'rate = "x"', "workspace 1 'counter'", 'float'),
        ('burst = 200', '', "workspace 1 'counter'", 'burst'),
        ('burst = 200', 'burst = 2\ncap = 3', "workspace 1 'counter'", 'cap'),
        (
            'bytes = 2 }',
            'bytes = 2, x = 1 }',
            "entry 1 'quote'",
            'adapters[0].x',
        ),
        ('bytes = 10', 'bytes = -1', "entry 1 'quote'", 'bytes must'),
        ('kind = "model"', 'kind = "molde"', "entry 1 'quote'", 'molde'),
        ('"interactive"', '"slow"', "entry 1 'quote'", 'slow'),
        ('["desk-1"]', '[]', "entry 2 'orders'", 'targets must'),
        ('["desk-1"]', '["a", "a"]', "entry 2 'orders'", 'stands twice'),
        ('"orders"', '"quote"', "entry 2 'quote'", 'is a duplicate of'),
        ('"orders"', '"or/ders"', "entry 2 'or/ders'", 'must be made of'),
        ('[[approval]]', '[[aproval]]', 'aproval', 'no such section'),
        ('[[workspace]]', '[workspace]', 'workspace', 'write it as'),
        ('[[entry]]', '[[entry', 'not TOML', 'line 2'),
    ],
)
def test_each_fault_has_a_place_and_a_reason(
    faults_after, old, new, place, reason
):
    faults = faults_after(old, new)
    assert any(
        fault.startswith(f'{place}: ') and reason in fault for fault in faults
    )


def test_all_faults_are_reported_with_the_path(tmp_path):
    path = tmp_path / 'catalogue.toml'
    path.write_text(GOOD.replace('rate = 100', 'rate = 0').replace('10', '0'))
    with pytest.raises(CatalogueFileError) as caught:
        catfile.read_file(path)
    assert len(caught.value.args) == 2
    assert all(fault.startswith(f'{path}: ') for fault in caught.value.args)


@pytest.mark.parametrize('content', [None, b'\xff', b'a = %b' % (b'[' * 10**5)])
def test_an_unreadable_file_is_reported_as_a_fault(tmp_path, content):
    path = tmp_path / 'catalogue.toml'
    if content is not None:
        path.write_bytes(content)
    with pytest.raises(CatalogueFileError):
        catfile.read_file(path)


_PIECES = st.one_of(
    st.sampled_from([*GOOD.splitlines(), '[[entry]]', '[entry]', 'entry = 3']),
    st.text(max_size=20),
)


@given(st.lists(_PIECES, max_size=14))
def test_arbitrary_text_raises_no_other_error(pieces):
    try:
        catfile.parse('\n'.join(pieces))
    except CatalogueFileError as error:
        assert error.args
