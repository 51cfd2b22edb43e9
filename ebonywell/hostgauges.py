"""Gauges of a host on a platform, collected before each exposition."""

import math
import resource

from .callers import Callers
from .clock import boot_time
from .gateway import Gateway
from .gossip import Gossip
from .hostfeeds import HostFeeds
from .hostknowledge import Knowledge
from .inventory import Inventory
from .leadership import Leadership
from .metrics import Metrics
from .upstream import ConnectionPool

_KIB = 1024


def add_host_gauges(
    metrics: Metrics,
    known: Knowledge,
    leadership: Leadership,
    feeds: HostFeeds,
) -> None:
    """Add collectors for a host's configuration, lease, feeds and memory."""

    def collect_known(sink: Metrics) -> None:
        now = boot_time()
        age_s = now - known.intake.proven_at
        sink.gauge('config_version', known.intake.version)
        sink.gauge('proof_age_seconds', age_s if math.isfinite(age_s) else -1)
        sink.gauge('targets', len(known.inventory.targets))
        sink.gauge('hosts_known', known.fleet.size)
        sink.gauge('hosts_silent', len(known.fleet.silent(now)))
        for name, window in known.limits.windows.items():
            sink.gauge('limit_tokens', window.count(now), workspace=name)

    def collect_lease(sink: Metrics) -> None:
        sink.gauge('lease_fence', leadership.state.fence)
        sink.gauge('lease_ordering', float(leadership.may_order_cached()))

    def collect_feeds(sink: Metrics) -> None:
        for feed in (feeds.configuration, feeds.targets):
            topic = feed.feed.topic
            is_lost = feed.state.reach.failing_since is not None
            sink.gauge('feed_lost', float(is_lost), topic=topic)
            sink.gauge('feed_offset', feed.state.offset or 0, topic=topic)

    def collect_memory(sink: Metrics) -> None:
        peak_kib = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        sink.gauge('memory_peak_bytes', peak_kib * _KIB)

    add_evacuation_gauges(metrics, known.inventory)
    metrics.collectors.extend(
        (
            collect_known,
            collect_lease,
            collect_feeds,
            collect_memory,
        )
    )


def add_evacuation_gauges(metrics: Metrics, inventory: Inventory) -> None:
    """Add a collector for targets that get no requests, or few."""

    def collect_evacuation(sink: Metrics) -> None:
        evacuated = len(inventory.evacuations.closed_at)
        sink.gauge('evacuated_zones', evacuated)
        sink.gauge('cold_targets', len(inventory.cold.ends))

    metrics.collectors.append(collect_evacuation)


def add_traffic_gauges(
    metrics: Metrics,
    gateway: Gateway,
    gossip: Gossip,
    pool: ConnectionPool,
) -> None:
    """Add a collector for a host's requests, connections and datagrams."""

    def collect_traffic(sink: Metrics) -> None:
        sink.gauge('requests_active', len(gateway.active))
        sink.gauge('prefix_cache_parts', gateway.selector.prefixes.size)
        sink.gauge('target_connections_opened', pool.opened)
        sink.gauge(
            'target_connections_idle',
            sum(len(idle) for idle in pool.idle.values()),
        )
        sink.gauge('digests_sent', gossip.number)
        sink.gauge('datagrams_malformed', gossip.malformed)
        sink.gauge('digest_bytes', gossip.last_sent.digest_bytes)
        sink.gauge('datagram_bytes', gossip.last_sent.datagram_bytes)
        sink.gauge('digests_relayed', gossip.last_sent.relayed)

    def collect_breakages(sink: Metrics) -> None:
        detector = gateway.guard.detector
        if detector is not None:
            sink.gauge('breakages_open', len(detector.breakages))
            age_s = detector.oldest_age_s(boot_time())
            sink.gauge('breakage_age_seconds', age_s)

    metrics.collectors.extend((collect_traffic, collect_breakages))


def add_caller_gauges(metrics: Metrics, callers: Callers) -> None:
    """Add a collector for the connections of callers and their memory."""

    def collect_callers(sink: Metrics) -> None:
        sink.gauge('caller_connections', len(callers.connections))
        sink.gauge('caller_memory_bytes', callers.memory.total_bytes)
        behind = callers.memory.list_behind()
        sink.gauge('callers_behind', len(behind))
        sink.gauge(
            'callers_behind_bytes', sum(one.kept_bytes for one in behind)
        )

    metrics.collectors.append(collect_callers)
