"""What a host takes from the package that speaks a platform's formats."""

from collections.abc import Callable
from dataclasses import dataclass

from .engineorders import EngineClient
from .inventory import Announcement
from .progress import TargetFormat
from .routetable import Configuration


@dataclass(slots=True, frozen=True)
class Translators:
    """What differs from platform to platform.

    Attributes
    ----------
    configuration_topic, configuration_key : str
    decode_configuration : callable
        Raises `RecordError`.
    targets_topic : str
    decode_announcement : callable
        Raises `RecordError`.
    own_topic : str
        For the lease, the list of hosts and the limits' summary.
    target_format : TargetFormat
    engines : EngineClient
    """

    configuration_topic: str
    configuration_key: str
    decode_configuration: Callable[[bytes], Configuration]
    targets_topic: str
    decode_announcement: Callable[[str, bytes], Announcement]
    own_topic: str
    target_format: TargetFormat
    engines: EngineClient
