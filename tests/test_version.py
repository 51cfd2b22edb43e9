"""The version is one string that the package and its metadata share."""

from ebonywell import version


def test_the_version_has_three_numbers():
    assert len(version.__version__.split('.')) == 3
