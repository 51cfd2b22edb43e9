"""Orders to the engines, and their records in the log."""

import enum

import msgspec


class Action(enum.StrEnum):
    """What an order makes an engine do."""

    load = 'load'
    unload = 'unload'
    load_adapter = 'load_adapter'
    unload_adapter = 'unload_adapter'


class Outcome(enum.StrEnum):
    """How an order ended.

    Attributes
    ----------
    done, failed
        As the engine reported it for the order's id.
    fenced
        The order can never run: the engine checks fencing numbers, has
        acknowledged a newer one, and then did not know the order.
    """

    done = 'done'
    failed = 'failed'
    fenced = 'fenced'


class Order(msgspec.Struct, frozen=True):
    """An order to one incarnation of an engine.

    Attributes
    ----------
    order_id : str
        Engines deduplicate orders by this id.
    target : str
    incarnation : str
        Incarnation of the target for which the order is meant.
    action : Action
    model : str
    bytes : int
        Accelerator memory that a load takes, 0 for other actions.
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
    """A model that is loaded in a target's memory.

    Attributes
    ----------
    bytes : int
        Size without adapters.
    adapters : dict of str to int
        Sizes of the loaded adapters, in bytes.
    """

    bytes: int
    adapters: dict[str, int] = msgspec.field(default_factory=dict)


class TargetSeen(msgspec.Struct, frozen=True, tag='target_seen'):
    """A target's new incarnation, with its memory by the target's report.

    Attributes
    ----------
    fencing : int
        Fencing number of the lease under which the record is written.
    target : str
    incarnation : str
    memory_bytes : int
    checks_fencing : bool
    other_bytes : int
        Memory in use that doesn't belong to a model of the report.
    residents : dict of str to Resident
        Models of the report.
    """

    fencing: int
    target: str
    incarnation: str
    memory_bytes: int
    checks_fencing: bool
    other_bytes: int = 0
    residents: dict[str, Resident] = msgspec.field(default_factory=dict)


class TargetGone(msgspec.Struct, frozen=True, tag='target_gone'):
    """A target that left the host list or has not answered for a long time."""

    fencing: int
    target: str


class OrdersIntended(msgspec.Struct, frozen=True, tag='orders_intended'):
    """Orders that may be sent once this record has been read from the log."""

    fencing: int
    orders: tuple[Order, ...]


class Settlement(msgspec.Struct, frozen=True):
    """How one order ended."""

    target: str
    order_id: str
    outcome: Outcome


class OrdersSettled(msgspec.Struct, frozen=True, tag='orders_settled'):
    """Outcomes of orders, which settle them."""

    fencing: int
    settlements: tuple[Settlement, ...]


OrderRecord = TargetSeen | TargetGone | OrdersIntended | OrdersSettled
