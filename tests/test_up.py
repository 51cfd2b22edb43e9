"""Tests of the programs behind `make up` and of the demo."""

import json
import os
import signal
import subprocess
import sys

import anyio
import pytest

from lab import demo
from lab.client import ClientError


@pytest.fixture
def up():
    """Start the program behind `make up`."""
    process = subprocess.Popen(
        [sys.executable, '-m', 'lab.up'],
        stdout=subprocess.PIPE,
        text=True,
    )
    yield process
    process.kill()
    process.wait()
    process.stdout.close()


def is_running(pid):
    """Return whether a process exists."""
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True


@pytest.mark.parametrize('number', [signal.SIGTERM, signal.SIGINT])
def test_up_prints_its_processes_and_stops_them(up, number):
    shown = json.loads(up.stdout.readline())
    assert len(shown['entries']) == 3
    assert {'entry-1', 'entry-2', 'entry-3'} <= set(shown['pids'])
    assert set(shown['keys']) == {'counter', 'stranger'}
    assert set(shown['models']) == {'quote', 'reconcile'}
    assert set(shown['services']) == {'orders', 'stock', 'notices'}
    assert {'engine-1', 'engine-2', 'orders-1'} <= set(shown['targets'])
    assert set(shown['platform']) == {'log', 'hosts', 'weights'}
    assert all(is_running(pid) for pid in shown['pids'].values())
    up.send_signal(number)
    assert up.wait() == 0
    assert not any(is_running(pid) for pid in shown['pids'].values())


def test_demo_runs_every_step(capsys):
    assert demo.main() == 0
    steps = [
        line.partition(':')[0] for line in capsys.readouterr().out.splitlines()
    ]
    assert steps == ['start', *(step.__name__ for step in demo.STEPS), 'stop']


def test_demo_prints_the_reason_of_a_failure(monkeypatch, capsys):
    async def broken(shown):
        await anyio.sleep(0)
        raise ClientError('no answer')

    monkeypatch.setattr(demo, 'STEPS', (broken,))
    assert demo.main() == 1
    assert 'demo failed: broken: no answer' in capsys.readouterr().err
