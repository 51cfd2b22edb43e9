"""What a load of a model needs of an engine: room and time."""

from .inventory import KnownTarget
from .orderbook import used_bytes
from .routetable import EngineSpec
from .turnover import Swap


def reserved_adapter_bytes(engine: EngineSpec) -> int:
    """Return the memory that adapters of any models may take."""
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
    """Return whether an engine has room for a model once others have gone."""
    sizes = {name: spec.bytes for name, spec in engine.models.items()}
    left = {
        model: resident
        for model, resident in known.models.items()
        if model not in swap.unloads
    }
    used = used_bytes(left, sizes, engine.weight_bytes)
    wanted = engine.models[swap.load].bytes + reserved_adapter_bytes(engine)
    return swap.load not in left and used + wanted <= engine.weight_bytes


def load_s(model: str, known: KnownTarget, engine: EngineSpec) -> float:
    """Return how long a load takes from where the engine has its weights."""
    spec = engine.models[model]
    if model in known.announcement.memory_weights:
        return spec.memory_load_s
    if model in known.announcement.disk_weights:
        return spec.disk_load_s
    return spec.load_s
