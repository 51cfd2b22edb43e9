"""`ebonywell where`: the decision on a request that is not sent."""

import json
import os
import random
import subprocess
import sys

import anyio
import pytest

from ebonywell.health import HealthTracker
from ebonywell.inbound import Generation
from ebonywell.inventory import (
    Announcement,
    Inventory,
    KnownTarget,
    Resident,
    TargetState,
)
from ebonywell.loadboard import LoadBoard, Run
from ebonywell.logs import discard_event
from ebonywell.platform.catalog import decode_configuration
from ebonywell.prefixcache.index import PrefixCacheIndex
from ebonywell.targeting import TargetSelector
from ebonywell.where.questions import (
    Question,
    UnknownNameError,
    make_requests,
)
from ebonywell.where.views import describe_decision
from lab.platform_world import ROOT, configuration, run_scenario

from .limitless import no_limits

CONFIGURATION = decode_configuration(json.dumps(configuration()).encode())
GENERATION = Generation('m1', '', 1000, 100, 100)
NOW = 1000.0


def make_target(name, state=TargetState.ready, models=('m1',)):
    announcement = Announcement(
        name, 1, 'pool', '127.0.0.1:1', 'z1', state, 4,
        {model: Resident(model) for model in models},
    )  # fmt: skip
    return KnownTarget(announcement, dict(announcement.models))


def make_selector(*targets):
    inventory = Inventory({known.name: known for known in targets})
    return TargetSelector(
        'z1', inventory, LoadBoard(), HealthTracker(), PrefixCacheIndex(),
        CONFIGURATION.engines.get, no_limits(), discard_event,
        random.Random(1),
    )  # fmt: skip


def ask(selector, generation=GENERATION):
    question = Question('chat', 'team', generation)
    request = next(make_requests(question, CONFIGURATION, NOW))
    return describe_decision(selector, request, NOW), request


def test_the_answer_is_the_decision_on_requests():
    # Guards against an answer of its own that differs from what is done.
    selector = make_selector(make_target('a'), make_target('b'))
    with selector.board.running(Run('a', 50_000, 50_000)):
        view, request = ask(selector)
        assert selector.select(request, set())[0].name == 'b'
    assert view.target == 'b'
    assert view.verdict == 'sent'
    assert [one.target for one in view.candidates] == ['b', 'a']
    assert view.candidates[1].expected_ms > view.candidates[0].expected_ms


def test_an_answer_reserves_nothing():
    # Guards against a question that changes where requests go.
    selector = make_selector(make_target('a'))
    before = selector.board.total('a').in_flight
    ask(selector)
    assert selector.board.total('a').in_flight == before
    assert not selector.prefixes.caches


def test_a_full_service_is_shown_as_overloaded():
    # Guards against a target that is named though requests are rejected.
    selector = make_selector(make_target('a'))
    with selector.board.running(Run('a', 90_000, 90_000)):
        assert ask(selector)[0].verdict == 'overloaded'


def test_targets_of_an_evacuated_zone_are_shown_as_such():
    # Guards against a target that looks full though its zone is closed.
    selector = make_selector(make_target('a'), make_target('b'))
    zone = selector.inventory.targets['a'].announcement.zone
    selector.inventory.evacuations.replace_all([zone])
    view, _ = ask(selector)
    assert {one.why for one in view.excluded} == {'evacuated'}
    assert view.verdict == 'no_target'


def test_each_excluded_target_has_a_reason():
    # Guards against targets that are missing from the answer.
    leaving = make_target('leaving')
    leaving.is_leaving = True
    paused = make_target('paused')
    paused.paused_until = float('inf')
    selector = make_selector(
        make_target('draining', TargetState.draining),
        leaving,
        make_target('empty', models=()),
        paused,
    )
    view, _ = ask(selector)
    assert {one.target: one.why for one in view.excluded} == {
        'draining': 'draining',
        'leaving': 'leaving',
        'empty': 'lacks_model',
        'paused': 'paused',
    }
    assert (view.target, view.verdict) == (None, 'no_target')


@pytest.mark.parametrize(
    ('route', 'workspace', 'model', 'named'),
    [
        ('chta', 'team', 'm1', "route 'chta'"),
        ('chat', 'taem', 'm1', "workspace 'taem'"),
        ('chat', 'team', 'm0', "model 'm0'"),
        ('chat', 'team', '', "model ''"),
    ],
)
def test_an_unknown_name_is_named(route, workspace, model, named):
    # Guards against a wrong name that looks like a missing target.
    question = Question(route, workspace, Generation(model) if model else None)
    with pytest.raises(UnknownNameError, match=named):
        list(make_requests(question, CONFIGURATION, NOW))


def run_command(host, *arguments):
    return subprocess.run(
        [
            sys.executable, '-m', 'ebonywell', 'where',
            f'127.0.0.1:{host.first_port + 15}', *arguments,
        ],
        cwd=ROOT, env={**os.environ, 'PYTHONPATH': ROOT},
        capture_output=True, text=True, timeout=20, check=False,
    )  # fmt: skip


def test_the_command_asks_a_real_host(tmp_path):
    # Guards against a host that answers with what only tests set up.
    async def scenario(world):
        host = world.hosts['host-1']

        async def command(*arguments):
            return await anyio.to_thread.run_sync(run_command, host, *arguments)

        found = await command(
            'chat', '--workspace', 'team', '--model', 'm2',
            '--prefix', 'p:50', '--tokens', '100,20',
        )  # fmt: skip
        assert found.returncode == 0, found.stderr
        assert 'candidate pool-1 zone=z1 ' in found.stdout
        assert 'excluded  pool-2 zone=z1 why=lacks_model' in found.stdout
        assert 'decision  sent service=pool target=pool-1' in found.stdout
        assert 'known     configuration=1 age_s=' in found.stdout
        plain = await command('look', '--workspace', 'team', '--json')
        service = json.loads(plain.stdout)['services'][0]
        assert service['target'] in {'desk-1', 'desk-2'}
        wrong = await command('chat', '--workspace', 'team', '--model', 'm9')
        assert wrong.returncode == 2
        assert wrong.stderr == "ebonywell: unknown model 'm9' of 'pool'\n"
        assert not any(one.seen for one in world.replicas.values())

    run_scenario(tmp_path, scenario)
