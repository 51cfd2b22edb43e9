"""Interface between a host and the package for a platform's formats."""

from collections.abc import Callable
from dataclasses import dataclass

from .engineorders import EngineClient
from .inventory import Announcement
from .peerforwarding import HostFormat
from .progress import TargetFormat
from .routetable import Configuration


@dataclass(slots=True, frozen=True)
class Translators:
    """The topics, formats and clients that differ between platforms.

    Attributes
    ----------
    configuration_topic, configuration_key : str
    decode_configuration : callable
        Raises `RecordError` for a malformed record.
    targets_topic : str
    decode_announcement : callable
        Raises `RecordError` for a malformed record.
    own_topic : str
        Topic of the lease, the list of hosts and the summary of limits.
    target_format : TargetFormat
    host_format : HostFormat
    engines : EngineClient
    evacuation_prefix : str
        With the name of a zone appended, the key of the record in the topic of
        the configuration that evacuates the zone; empty if there are none.
    """

    configuration_topic: str
    configuration_key: str
    decode_configuration: Callable[[bytes], Configuration]
    targets_topic: str
    decode_announcement: Callable[[str, bytes], Announcement]
    own_topic: str
    target_format: TargetFormat
    host_format: HostFormat
    engines: EngineClient
    evacuation_prefix: str = ''
