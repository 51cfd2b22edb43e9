"""Memory and time that a model load needs on an engine."""

from .engineorders import used_bytes
from .inventory import KnownTarget
from .modelswaps import Swap
from .routetable import EngineSpec


def reserved_adapter_bytes(engine: EngineSpec) -> int:
    """Return the memory to reserve for adapters of any model, in bytes."""
    largest = max(
        (
            spec.adapter_bytes
            for spec in engine.models.values()
            if spec.adapters
        ),
        default=0,
    )
    return largest * engine.adapter_slots


def fits(known: KnownTarget, engine: EngineSpec, swap: Swap) -> bool:
    """Return whether a swap's model fits into memory after its unloads."""
    sizes = {name: spec.bytes for name, spec in engine.models.items()}
    remaining = {
        model: resident
        for model, resident in known.models.items()
        if model not in swap.unloads
    }
    used = used_bytes(remaining, sizes, engine.weight_bytes)
    needed = engine.models[swap.load].bytes + reserved_adapter_bytes(engine)
    return swap.load not in remaining and used + needed <= engine.weight_bytes


def load_s(model: str, known: KnownTarget, engine: EngineSpec) -> float:
    """Return the load time from the nearest place that has the weights."""
    spec = engine.models[model]
    if model in known.announcement.memory_weights:
        return spec.memory_load_s
    if model in known.announcement.disk_weights:
        return spec.disk_load_s
    return spec.load_s
