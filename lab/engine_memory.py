"""Models the accelerator memory of the engine stand-in."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Any


@dataclass(slots=True)
class Resident:
    """Model that is in memory or being loaded.

    Attributes
    ----------
    bytes : int
        The size of the model without adapters.
    state : str
        ``loading``, ``ready`` or ``unloading``.
    adapters : dict of str to int
        The bytes of each loaded adapter.
    loading_adapters : dict of str to int
        The bytes of each adapter that is loading.
    running : int
        The number of requests that run on the model now.
    """

    bytes: int
    state: str = 'loading'
    adapters: dict[str, int] = field(default_factory=dict)
    loading_adapters: dict[str, int] = field(default_factory=dict)
    running: int = 0

    def total_bytes(self) -> int:
        """Return the bytes that the model and its adapters use."""
        adapters = sum(self.adapters.values()) + sum(
            self.loading_adapters.values()
        )
        return self.bytes + adapters

    @contextmanager
    def count_request(self) -> Iterator[None]:
        """Count a request as running while the context is open."""
        self.running += 1
        try:
            yield
        finally:
            self.running -= 1


@dataclass(slots=True)
class Memory:
    """Accelerator memory of a fixed size that is never exceeded."""

    size_bytes: int
    models: dict[str, Resident] = field(default_factory=dict)

    def used_bytes(self) -> int:
        """Return the bytes that all models and adapters use."""
        return sum(resident.total_bytes() for resident in self.models.values())

    def has_room(self, size_bytes: int) -> bool:
        """Return whether a number of bytes still fits."""
        return self.used_bytes() + size_bytes <= self.size_bytes

    def is_ready(self, model: str, adapter: str = '') -> bool:
        """Return whether a model and, if named, its adapter are loaded."""
        resident = self.models.get(model)
        if resident is None or resident.state != 'ready':
            return False
        return not adapter or adapter in resident.adapters

    def report_models(self) -> list[dict[str, Any]]:
        """Return the models in the format of a report."""
        return [
            {
                'model': name,
                'bytes': resident.bytes,
                'state': resident.state,
                'adapters': sorted(resident.adapters),
            }
            for name, resident in self.models.items()
        ]
