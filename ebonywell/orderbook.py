"""What the holder of the lease knows of each target's orders."""

from dataclasses import dataclass

from .inventory import Resident


@dataclass(slots=True, frozen=True)
class TargetReport:
    """What a target reports on its own port; it lags somewhat.

    Attributes
    ----------
    born : int
    order_count : int
        Orders accepted in this life.
    is_busy : bool
        Whether a model's order is under way.
    models : dict of str to Resident
    arriving : tuple of str
        Adapters on their way, as ``model/adapter``.
    """

    born: int
    order_count: int
    is_busy: bool
    models: dict[str, Resident]
    arriving: tuple[str, ...] = ()
