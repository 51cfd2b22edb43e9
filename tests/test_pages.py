"""The documentation matches the code: settings, error codes, events, links."""

import configparser
import re
from pathlib import Path

import pytest

from lab import pages

DOCS = Path('docs')


@pytest.fixture
def operators():
    """Read the operators' page."""
    return pages.OPERATORS_PAGE.read_text()


def test_settings_table_matches_the_code(operators):
    assert pages.replace_settings_table(operators) == operators


def test_every_event_is_documented(operators):
    events = pages.event_names()
    assert {'call_refused', 'log_gap', 'order_intended'} <= events
    # Events of hosts on the outer platform are documented in OPERATIONS.md.
    text = operators + (DOCS / 'OPERATIONS.md').read_text()
    missing = {name for name in events if f'`{name}`' not in text}
    assert missing == set()


@pytest.mark.parametrize('page', ['OPERATORS.md', 'CALLERS.md'])
def test_every_error_code_is_documented(page):
    codes = pages.error_codes()
    assert {'key_withdrawn', 'targets_failing', 'method_unknown'} <= codes
    if page == 'CALLERS.md':
        codes -= {'operator_token', 'bad_change', 'bad_query', 'conflict'}
        codes -= {'log_outage', 'too_large', 'not_ended'}
    text = (DOCS / page).read_text()
    missing = {code for code in codes if f'`{code}`' not in text}
    assert missing == set()


def test_every_ignored_lint_rule_has_a_reason():
    setup = configparser.ConfigParser()
    setup.read('setup.cfg')
    ignored_rules = set(
        re.findall(r'(?:WPS|C)\d{3}', setup['flake8']['ignore'])
    )
    ignored_rules |= set(
        re.findall(r'(?:WPS|C)\d{3}', setup['flake8']['per-file-ignores']),
    )
    style = (DOCS / 'STYLE.md').read_text()
    assert ignored_rules
    missing = {rule for rule in ignored_rules if rule not in style}
    assert missing == set()


def test_links_between_pages_resolve():
    linked_pages = [Path('README.md'), *DOCS.rglob('*.md')]
    for page in linked_pages:
        for link in re.findall(r'\]\((?!http)([^)#]+)', page.read_text()):
            assert (page.parent / link).exists(), f'{page}: {link}'
