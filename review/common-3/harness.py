# flake8: noqa
"""Small deployment on loopback for the scripts of this review.

Real hosts are started with the command of the deploy file, in front of the
project's own stand-ins of the platform. A case is a coroutine that gets the
world and the record, and returns the sentences that say how a rule was broken.
"""

import os
import sys
import tempfile
import time
import traceback
from pathlib import Path

import anyio

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT))

from lab import platform_world
from lab.platform_world import World
from lab.standin_http import Reply
from lab.standin_platform import PlatformStore

HELD, BROKEN, NOT_RUN = 0, 1, 2
MAX_S = 115

# Bounds as on the sheet of the small deployment.
BOUNDS = {
    'seedLagS': 3, 'reuseAfterS': 2, 'contactMs': 3000, 'ackMs': 4000,
    'catchUpS': 4, 'drainMs': 2000, 'graceS': 8, 'lossSlackMs': 200,
    'configMs': 2000, 'downgradeMs': 250, 'outerMs': 5000,
    'strictRevoke': True, 'revokeMs': 5000, 'retryBudgetRatio': 0.2,
    'budgetWindowS': 10, 'budgetSlack': 56, 'quotaWindowS': 8,
    'quotaOvershoot': 0.1, 'quotaSlack': 17000, 'recoveryS': 12,
    'passMs': 120, 'retryAfterS': 0, 'requireFence': True, 'leaseMs': 3000,
    'thawMs': 300, 'ceilingWindowS': 5, 'ceilingOvershoot': 1.1,
    'ttl_max_s': 5,
}
CONTACT_S = BOUNDS['contactMs'] / 1000
DRAIN_S = BOUNDS['drainMs'] / 1000
HEARTBEAT_S = 1.2


class Store(PlatformStore):
    """The project's stand-in; its 410 says where the records begin."""

    async def read(self, partition, query):
        if int(query['from']) > len(self.records.get(partition, [])):
            return Reply.json({'first': 0}, 410)
        return await super().read(partition, query)


class Record:
    """What was sent, answered and run, written to `record.txt`."""

    def __init__(self):
        self.begun_at = time.monotonic()
        self.lines = []

    def now(self):
        return time.monotonic() - self.begun_at

    def note(self, text):
        self.lines.append(f'{self.now():8.3f} {text}')

    def at(self, moment):
        """Return a moment of the monotonic clock as a time of the record."""
        return moment - self.begun_at


def has_trouble():
    return os.environ.get('TROUBLE', '1') != '0'


def main(case, hosts=('host-1', 'host-2', 'host-3')):
    """Play a case, write its record, and exit with its result."""
    folder = Path(sys.argv[1]).resolve()
    record = Record()
    record.note(f'trouble {int(has_trouble())}')
    result = NOT_RUN
    broken = []
    try:
        with tempfile.TemporaryDirectory() as logs:
            broken = anyio.run(_play, case, record, logs, hosts)
            keep = os.environ.get('KEEP_LOGS')
            if keep:
                os.makedirs(keep, exist_ok=True)
                for path in Path(logs).iterdir():
                    Path(keep, path.name).write_bytes(path.read_bytes())
        result = BROKEN if broken else HELD
    except BaseException as error:
        record.note(f'could not run: {error!r}')
        traceback.print_exc()
    for line in broken:
        record.note(f'BROKEN {line}')
    record.note(f'result {result}')
    (folder / 'record.txt').write_text('\n'.join(record.lines) + '\n')
    print('\n'.join(broken) or f'result {result}')
    sys.stdout.flush()
    os._exit(result)


async def _play(case, record, logs, hosts):
    async with anyio.create_task_group() as group:
        world = World(logs, group)
        world.bounds = dict(BOUNDS)
        world.store = Store()
        try:
            with anyio.fail_after(MAX_S):
                await world.start_store()
                broken = await case(world, record, hosts)
        finally:
            world.stop_hosts()
            group.cancel_scope.cancel()
    return broken


async def launch_all(world, hosts):
    for name in hosts:
        world.launch(name)
    await world.wait_ready()


async def keep_entries(world, states):
    """Write the entries of replicas again, as their heartbeats do.

    `states` maps the name of a replica to its state; None writes nothing.
    """
    beat = 0
    while True:
        beat += 1
        for name, replica in list(world.replicas.items()):
            state = states.get(name, 'ready')
            is_away = world.store.is_down or replica.is_down
            if state is None or is_away:
                continue
            entry = replica.entry(state)
            entry['seq'] = beat
            world.store.put('keyed.servers', name, entry)
        await anyio.sleep(HEARTBEAT_S)


def configuration(**fields):
    return platform_world.configuration(rate=1_000_000, **fields)


def roll_back(world, copy):
    """Have the store come back from an older copy, with a higher era.

    The entries that replicas wrote since are written again with their next
    heartbeats, by `keep_entries`; the operator's records by the case.
    """
    store = world.store
    store.era += 1
    for key, records in store.records.items():
        del records[copy.get(key, 0):]
    store.changed.set()
    store.changed = anyio.Event()


def spread_zones(count=None):
    """Spread the machines over zones; each has its own if `count` is None."""
    dump = platform_world.yaml.safe_dump

    def dump_changed(content, *args, **options):
        settings = content['host']
        number = int(settings['node'].partition('-')[2])
        settings['zone'] = f'zone-{number % count if count else number}'
        return dump(content, *args, **options)

    platform_world.yaml.safe_dump = dump_changed


async def keep_entry(world, name, delay_s):
    """Write one replica's entry again, at moments of its own."""
    await anyio.sleep(delay_s)
    replica = world.replicas[name]
    beat = 0
    while True:
        beat += 1
        if not (replica.is_down or world.store.is_down):
            entry = replica.entry()
            entry['seq'] = beat
            world.store.put('keyed.servers', name, entry)
        await anyio.sleep(HEARTBEAT_S)
