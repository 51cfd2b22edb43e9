"""The version string of the package, which its metadata shares."""

from ebonywell import version


def test_version_has_three_numbers():
    assert len(version.__version__.split('.')) == 3
