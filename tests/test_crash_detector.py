"""The crash detector, whatever comes between two broken exchanges."""

import anyio
import pytest

from ebonywell.blame import Crash
from ebonywell.clock import boot_time
from ebonywell.crashdetector import CrashDetector
from ebonywell.inventory import Announcement, KnownTarget, TargetState
from ebonywell.logs import discard_event

BOUND_S = 0.5
# More steps of the event loop than the settling of a breakage takes.
STEPS = 12


def make_target(born=1):
    announcement = Announcement(
        'desk', born, 'pool', 'desk:1', 'z', TargetState.ready, 9
    )
    return KnownTarget(announcement, {})


async def is_settled(breakage):
    with anyio.move_on_after(BOUND_S):
        await breakage.settled.wait()
    return breakage.settled.is_set()


async def pass_steps(count):
    for _ in range(count):
        await anyio.sleep(0)


class DetectorWorld:
    """A detector whose only target refuses connections."""

    def __init__(self, monkeypatch):
        monkeypatch.setattr('ebonywell.crashdetector.CLOSE_NOTICE_S', 0)
        self.reported = []
        self.failures = 0
        self.detector = CrashDetector(
            lambda address: 0,
            self.is_refused,
            lambda crash_id, crash: self.reported.append(crash_id),
            discard_event,
        )

    async def is_refused(self, address):
        await anyio.sleep(0)
        if self.failures:
            self.failures -= 1
            raise RuntimeError('a fault')
        return True

    def break_one(self, born=1):
        return self.detector.note_broken(make_target(born), Crash(boot_time()))


# Guards against a breakage that is never settled because an earlier one of its
# target was: requests then wait in vain, and crashes go unnoticed (review 7).
@pytest.mark.parametrize('is_second_at_once', [False, True])
@pytest.mark.parametrize('steps', range(STEPS))
def test_two_breaks_in_a_row_on_a_target_are_both_settled(
    monkeypatch, steps, is_second_at_once
):
    world = DetectorWorld(monkeypatch)

    async def play():
        async with anyio.create_task_group() as group:
            group.start_soon(world.detector.run)
            if not is_second_at_once:
                await pass_steps(steps)
            first = world.break_one()
            await pass_steps(steps)
            if is_second_at_once:
                await first.settled.wait()
            second = world.break_one()
            assert await is_settled(first)
            assert await is_settled(second)
            await pass_steps(STEPS)
            assert set(world.reported) == {('desk', 1)}
            assert len(world.reported) == len({id(first), id(second)})
            group.cancel_scope.cancel()

    anyio.run(play)
    assert not world.detector.breakages


# Guards against a breakage whose detector was restarted before it was settled.
@pytest.mark.parametrize('steps', range(STEPS))
def test_a_breakage_outlives_a_restart_of_its_detector(monkeypatch, steps):
    world = DetectorWorld(monkeypatch)

    async def play():
        breakage = world.break_one()
        async with anyio.create_task_group() as group:
            group.start_soon(world.detector.run)
            await pass_steps(steps)
            group.cancel_scope.cancel()
        async with anyio.create_task_group() as group:
            group.start_soon(world.detector.run)
            assert await is_settled(breakage)
            await pass_steps(STEPS)
            group.cancel_scope.cancel()
        assert world.reported == [('desk', 1)]

    anyio.run(play)


# Guards against requests that wait for a breakage whose settling failed.
def test_a_failure_to_settle_releases_its_requests_and_no_other(monkeypatch):
    world = DetectorWorld(monkeypatch)
    world.failures = 1

    async def run_twice():
        with pytest.raises(ExceptionGroup):
            await world.detector.run()
        await world.detector.run()

    async def play():
        async with anyio.create_task_group() as group:
            group.start_soon(run_twice)
            breakages = [world.break_one(born) for born in (1, 2)]
            for breakage in breakages:
                assert await is_settled(breakage)
            await pass_steps(STEPS)
            group.cancel_scope.cancel()
        assert len(world.reported) == 1

    anyio.run(play)
