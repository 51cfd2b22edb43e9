"""Measures how long one placement decision takes, up to the planned scale."""

import random
import sys
import time
from types import MappingProxyType

import cyclopts
import msgspec

from ebonywell.changes import Adapter, Entry
from ebonywell.layout import Layout
from ebonywell.layoutbuilder import PlannerHistory, build_layout
from ebonywell.memory import Memory, TargetMemory
from ebonywell.moves import PlacementState
from ebonywell.orders import Resident
from ebonywell.placement import decide
from ebonywell.targets import ListedHost, Report, ResidentModel, Target
from ebonywell.types import EntryKind

SIZES = ((20, 10), (30, 10), (130, 1000), (650, 5000), (1300, 10000))
COPIES_PER_TARGET = 4
ADAPTERS_PER_MODEL = 5
ZONES = 20
SLOTS = 16
NOW_S = 1000.0
REPEATS = 5
_MODEL_BYTES = 100


class CostRow(msgspec.Struct, frozen=True):
    """Time that one decision takes at one size.

    Attributes
    ----------
    models, targets : int
    view_ms, decide_ms : float
        Time to build the layout from the memory table of the log and the
        reports, and time to decide on that layout. Each is the median of
        `REPEATS` runs, in milliseconds.
    moves : int
    """

    models: int
    targets: int
    view_ms: float
    decide_ms: float
    moves: int


def measure(seed: int) -> list[CostRow]:
    """Return a row for each number of models and targets.

    Parameters
    ----------
    seed : int
        Seed of the demand.
    """
    return [_measure_one(seed, *size) for size in SIZES]


def _measure_one(seed: int, models: int, targets: int) -> CostRow:
    rng = random.Random(seed)
    fleet = _Fleet(rng, models, targets)
    layout_times_s: list[float] = []
    decision_times_s: list[float] = []
    moves = 0
    for _ in range(REPEATS):
        started_at = time.perf_counter()
        layout = fleet.layout()
        built_at = time.perf_counter()
        moves = len(decide(layout, PlacementState(), NOW_S).moves)
        layout_times_s.append(built_at - started_at)
        decision_times_s.append(time.perf_counter() - built_at)
    return CostRow(
        models,
        targets,
        round(sorted(layout_times_s)[REPEATS // 2] * 1000, 2),
        round(sorted(decision_times_s)[REPEATS // 2] * 1000, 2),
        moves,
    )


class _Fleet:
    """Targets that hold some models each, and one target that is empty."""

    def __init__(self, rng: random.Random, models: int, targets: int) -> None:
        adapters = tuple(
            Adapter(f'a{number}', 1) for number in range(ADAPTERS_PER_MODEL)
        )
        self.entries = [
            Entry(
                f'm{number}',
                EntryKind.model,
                bytes=_MODEL_BYTES,
                adapters=adapters,
            )
            for number in range(models)
        ]
        self.memory: Memory = {}
        self.targets: list[Target] = []
        for number in range(targets):
            held = [
                f'm{(number + step) % models}'
                for step in range(COPIES_PER_TARGET)
            ]
            self._add_target(number, held if number else [])
        self.history = PlannerHistory()
        self.history.update(self.memory, 0)
        capacity = targets * SLOTS
        weights = [rng.paretovariate(1.2) for _ in range(models)]
        self.demand = {
            entry.name: 0.7 * capacity * weight / sum(weights)
            for entry, weight in zip(self.entries, weights, strict=True)
        }

    def layout(self) -> Layout:
        """Return the layout as the planner builds it."""
        return build_layout(
            self.memory,
            self.targets,
            self.entries,
            MappingProxyType(self.demand),
            self.history,
            NOW_S,
        )

    def _add_target(self, number: int, held: list[str]) -> None:
        name = f't{number}'
        names = [f'a{index}' for index in range(ADAPTERS_PER_MODEL)]
        size = COPIES_PER_TARGET * (_MODEL_BYTES + ADAPTERS_PER_MODEL)
        memory = TargetMemory('1', size, True)
        for model in held:
            memory.residents[model] = Resident(
                _MODEL_BYTES,
                dict.fromkeys(names, 1),
            )
        self.memory[name] = memory
        zone = f'z{number % ZONES}'
        report = Report(
            name,
            '1',
            zone=zone,
            memory_bytes=size,
            max_running=SLOTS,
            models=tuple(
                ResidentModel(one, _MODEL_BYTES, 'ready', tuple(names))
                for one in held
            ),
        )
        listed = ListedHost(name, 'engine', '127.0.0.1:1', zone)
        self.targets.append(Target(listed, report, NOW_S))


def main(*, seed: int = 1) -> None:
    """Print a row for each size, one JSON object per line.

    Parameters
    ----------
    seed
        Seed of the demand.
    """
    for row in measure(seed):
        sys.stdout.write(f'{msgspec.json.encode(row).decode()}\n')
        sys.stdout.flush()


if __name__ == '__main__':
    cyclopts.run(main)
