"""Orders to the engines, and the records that hold them in the log."""

import enum

import msgspec


class Action(enum.StrEnum):
    """What an order asks of an engine."""

    load = 'load'
    unload = 'unload'
    load_adapter = 'load_adapter'
    unload_adapter = 'unload_adapter'


class Outcome(enum.StrEnum):
    """How an order ended.

    Attributes
    ----------
    done, failed
        The engine's own answer for the order's id.
    fenced
        The engine checks fencing numbers, has acknowledged a newer one, and
        did not know the order afterwards. So it can never run.
    """

    done = 'done'
    failed = 'failed'
    fenced = 'fenced'


class Order(msgspec.Struct, frozen=True):
    """An order to one life of an engine.

    Attributes
    ----------
    order_id : str
        The engine takes orders with the same id as one.
    target : str
    incarnation : str
        The life of the target that the order is meant for.
    action : Action
    model : str
    bytes : int
        Accelerator memory that a load takes; 0 for the others.
    adapter : str
        Empty for orders about a whole model.
    """

    order_id: str
    target: str
    incarnation: str
    action: Action
    model: str
    bytes: int = 0
    adapter: str = ''


class Resident(msgspec.Struct):
    """A model in a target's memory.

    Attributes
    ----------
    bytes : int
        Without its adapters.
    adapters : dict of str to int
        Bytes by adapter.
    """

    bytes: int
    adapters: dict[str, int] = msgspec.field(default_factory=dict)


class TargetSeen(msgspec.Struct, frozen=True, tag='target_seen'):
    """A target's new life, with what its report says is in its memory.

    Attributes
    ----------
    fencing : int
        Of the lease under which the record is written.
    target : str
    incarnation : str
    memory_bytes : int
    checks_fencing : bool
    other_bytes : int
        Memory in use that belongs to no model of the report.
    residents : dict of str to Resident
        By model.
    """

    fencing: int
    target: str
    incarnation: str
    memory_bytes: int
    checks_fencing: bool
    other_bytes: int = 0
    residents: dict[str, Resident] = msgspec.field(default_factory=dict)


class TargetGone(msgspec.Struct, frozen=True, tag='target_gone'):
    """A target has left the host list or has not answered for long."""

    fencing: int
    target: str


class OrdersIntended(msgspec.Struct, frozen=True, tag='orders_intended'):
    """Orders that may be sent once this record has been read back."""

    fencing: int
    orders: tuple[Order, ...]


class Settlement(msgspec.Struct, frozen=True):
    """How one order ended."""

    target: str
    order_id: str
    outcome: Outcome


class OrdersSettled(msgspec.Struct, frozen=True, tag='orders_settled'):
    """The evidence that ends orders."""

    fencing: int
    settlements: tuple[Settlement, ...]


OrderRecord = TargetSeen | TargetGone | OrdersIntended | OrdersSettled
