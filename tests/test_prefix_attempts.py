"""What an attempt tells the prefix cache index, with a fake connection."""

from types import SimpleNamespace

import anyio
import pytest

from ebonywell.attempts import Attempts
from ebonywell.clock import boot_time
from ebonywell.coordination import Coordination
from ebonywell.crashguard import CrashGuard
from ebonywell.exceptions import TargetUnreachableError
from ebonywell.headroom.arrivals import Arrivals
from ebonywell.health import HealthTracker, TargetHealth
from ebonywell.inbound import AdmittedRequest, Generation, PromptPart
from ebonywell.inventory import Announcement, KnownTarget, TargetState
from ebonywell.loadboard import LoadBoard, TargetLoad
from ebonywell.logs import discard_event
from ebonywell.metrics import Metrics
from ebonywell.prefixcache.index import PrefixCacheIndex, TargetMemory
from ebonywell.prefixcache.prompts import describe_prompt
from ebonywell.progress import AttemptError, Progress, TargetFormat, Verdict
from ebonywell.routetable import RequestKind, Route, WeightedService
from ebonywell.selection import Candidate, Choice
from ebonywell.statements import NO_NOTICE, Statement
from ebonywell.targetreach import TargetReach
from ebonywell.upstream import AnswerHead, Ending

from .limitless import no_limits

PREFIX = (PromptPart('system', 500), PromptPart('own', 1500))
GENERATION = Generation('m', '', 2000, 100, 100, PREFIX)
HEAD = AnswerHead(200, [(b'content-type', b'text/event-stream')])
EVENT = b'data: 1\n\n'


class Connection:
    """Gives the parts of an answer; None to keep the caller waiting."""

    def __init__(self, parts):
        self.exchange = SimpleNamespace(
            arrivals=Arrivals(), invalid_status=None
        )
        self.parts = list(parts)

    def send(self, head, body):
        return self.exchange

    async def receive(self, exchange):
        part = self.parts.pop(0)
        if part is None:
            await anyio.sleep_forever()
        return part


class Pool:
    """Hands out one connection, or refuses."""

    def __init__(self, connection):
        self.connection = connection

    async def acquire(self, address, *, is_new):
        if self.connection is None:
            raise TargetUnreachableError('refused')
        return self.connection

    def release(self, address, connection):
        """Ignore the call."""

    def count_open(self, address):
        return 0


class Responder:
    async def start(self, status, headers):
        """Ignore the call."""

    async def send(self, body):
        """Ignore the call."""

    async def finish(self):
        """Ignore the call."""


def attempt(parts, verdict=Verdict.answer, timeout_s=5):
    """Run one attempt; return the tokens then kept, and the metrics."""
    metrics = Metrics()
    index = PrefixCacheIndex(discard_event, metrics)
    index.memory_of = {'t': TargetMemory(1, 100_000)}.get

    async def run():
        guard = CrashGuard('host-1', None, discard_event, Metrics())
        connection = None if parts is None else Connection(parts)
        attempts = Attempts(
            Pool(connection), LoadBoard(), HealthTracker(),
            TargetFormat(
                lambda *_: b'', lambda *_: verdict, lambda head: head.headers,
                lambda head: Statement(None), lambda head: NO_NOTICE,
            ),
            SimpleNamespace(
                record_rejection=lambda *_: None,
                is_closed=lambda known: False,
            ),
            Coordination(guard, no_limits(), None), TargetReach(),
            discard_event,
        )  # fmt: skip
        attempts.prefixes = index
        announcement = Announcement(
            't', 1, 'pool', 'a', 'z', TargetState.ready, 8
        )
        candidate = Candidate(
            't', TargetLoad(), TargetHealth(), 8, 100_000, 1500, 2100,
            kept_tokens=500,
        )  # fmt: skip
        with anyio.move_on_after(timeout_s):
            await attempts.run(
                make_request(), Responder(), Progress(),
                (KnownTarget(announcement, {}), Choice('t', 1, 1, candidate)),
            )  # fmt: skip

    try:
        anyio.run(run)
    except AttemptError:
        pass
    prompt = describe_prompt(GENERATION)
    now = boot_time()
    assert not any(cache.coming for cache in index.caches.values())
    return index.kept_tokens(('t', 1), prompt, 0, now), metrics.expose()


def make_request():
    now = boot_time()
    route = Route(
        'r', 'host', '/a/', RequestKind.stream, (WeightedService('pool', 1),),
        30, 1, 1, 1, True, False,
    )  # fmt: skip
    return AdmittedRequest(
        'id', 'POST', b'/a/', (), b'', route, 'pool', None, GENERATION, now,
        now + 30,
    )  # fmt: skip


def test_an_answered_prompt_is_cached_and_counted():
    """Prompts counted from the send, whether the target read them or not."""
    kept, text = attempt([HEAD, EVENT, Ending.whole])
    assert kept > 1990
    assert 'ebonywell_prompt_tokens_sent_total 2000\n' in text
    assert 'ebonywell_prompt_tokens_expected_cached_total 500\n' in text


def test_a_stream_that_breaks_after_its_first_byte_was_read():
    """Its retry would avoid the one target that holds the prompt."""
    kept, _ = attempt([HEAD, EVENT, Ending.broken])
    assert kept > 1990


@pytest.mark.parametrize('verdict', [Verdict.not_run, Verdict.failed])
def test_a_prompt_that_was_not_answered_is_not_cached(verdict):
    """A target that rejects or fails would draw the same prompts again."""
    kept, _ = attempt([HEAD, Ending.whole], verdict)
    assert kept == 0


def test_a_prompt_whose_caller_leaves_before_the_answer_is_not_cached():
    """It would stay coming for ever, and others would wait behind nothing."""
    kept, _ = attempt([None], timeout_s=0.05)
    assert kept == 0


def test_a_prompt_that_reached_no_target_is_not_counted_as_sent():
    """Refused connections would inflate the share that is cached."""
    kept, text = attempt(None)
    assert kept == 0
    assert 'prompt_tokens_sent_total' not in text
