"""Measures how long the planner's lease has no holder, and its append rate."""

import heapq
import math
import random
import sys
from itertools import product

import cyclopts
import msgspec

from ebonywell.leases import (
    Lease,
    LeaseClaimed,
    LeaseRecord,
    LeaseRenewed,
    apply,
)
from ebonywell.leasetiming import LeaseStep, LeaseWatch, lease_step

HOSTS = 8
LENGTH_S = 3600.0
TICK_S = 0.5
APPEND_DELAYS_S = (0.005, 0.1)
HOLDER_FAILURE_INTERVAL_S = 60.0
LEASE_TERMS_S = ((4.0, 1.0), (8.0, 2.0), (16.0, 4.0))
STAGGERS_S = (0, 1)


class LeaseRow(msgspec.Struct, frozen=True):
    """Results for one combination of lease term, renewal period and stagger.

    Attributes
    ----------
    lease_s, renew_s, stagger_s : float
    empty_s : float
        Mean time from the failure of a holder to the next effective claim.
    claims : float
        Claims per handover, including claims that lost a race.
    appends_per_s : float
    """

    lease_s: float
    renew_s: float
    stagger_s: float
    empty_s: float
    claims: float
    appends_per_s: float


def measure(seed: int) -> list[LeaseRow]:
    """Return a row for each combination; the holder fails every minute.

    Parameters
    ----------
    seed : int
    """
    return [
        _Hosts(random.Random(seed), *terms, stagger_s).run()
        for terms, stagger_s in product(LEASE_TERMS_S, STAGGERS_S)
    ]


class _Hosts:
    """Hosts that check the lease every tick, over a log with append delays."""

    def __init__(
        self,
        rng: random.Random,
        lease_s: float,
        renew_s: float,
        stagger_s: float,
    ) -> None:
        self.rng = rng
        self.row = LeaseRow(lease_s, renew_s, stagger_s, 0, 0, 0)
        self.lease = Lease()
        self.watches = [
            LeaseWatch(
                rng.uniform(0, stagger_s), lease_s=lease_s, renew_s=renew_s
            )
            for _ in range(HOSTS)
        ]
        self.in_flight: list[tuple[float, int, LeaseRecord]] = []
        self.failed_at = math.inf
        self.empty_times_s: list[float] = []
        self.failures = 0
        self.claims = 0
        self.appends = 0

    def run(self) -> LeaseRow:
        """Run the simulation to its end and return the measured row."""
        ticks = [(self.rng.uniform(0, TICK_S), host) for host in range(HOSTS)]
        heapq.heapify(ticks)
        while ticks[0][0] < LENGTH_S:
            now, host = ticks[0]
            heapq.heapreplace(ticks, (now + TICK_S, host))
            self._receive(now)
            self._fail_holder(now)
            self._act(now, host)
        return msgspec.structs.replace(
            self.row,
            empty_s=round(sum(self.empty_times_s) / len(self.empty_times_s), 2),
            claims=round(self.claims / (len(self.empty_times_s) + 1), 2),
            appends_per_s=round(self.appends / LENGTH_S, 2),
        )

    def _receive(self, now: float) -> None:
        while self.in_flight and self.in_flight[0][0] <= now:
            _, _, record = heapq.heappop(self.in_flight)
            self.appends += 1
            counted = apply(self.lease, self.appends, record)
            is_claim = counted and isinstance(record, LeaseClaimed)
            if is_claim and self.failed_at < now:
                self.empty_times_s.append(now - self.failed_at)
                self.failed_at = math.inf

    def _fail_holder(self, now: float) -> None:
        is_due = now >= (self.failures + 1) * HOLDER_FAILURE_INTERVAL_S
        if is_due and self.failed_at > now:
            # All processes get new names, so that none of them is the holder.
            self.failed_at = now
            self.failures += 1

    def _act(self, now: float, host: int) -> None:
        name = f'{host}/{self.failures}'
        watch = self.watches[host]
        step = lease_step(self.lease, watch, name, now, is_log_fresh=True)
        if step is LeaseStep.claim:
            self.claims += 1
            self._append(now, LeaseClaimed(name, self.lease.fencing))
        elif step is LeaseStep.renew:
            self._append(now, LeaseRenewed(self.lease.fencing))

    def _append(self, now: float, record: LeaseRecord) -> None:
        stored_at = now + self.rng.uniform(*APPEND_DELAYS_S)
        number = self.rng.getrandbits(60)
        heapq.heappush(self.in_flight, (stored_at, number, record))


def main(*, seed: int = 1) -> None:
    """Print a row for each combination, one JSON object per line.

    Parameters
    ----------
    seed
        Seed of the append delays and of the hosts' staggers.
    """
    for row in measure(seed):
        sys.stdout.write(f'{msgspec.json.encode(row).decode()}\n')


if __name__ == '__main__':
    cyclopts.run(main)
