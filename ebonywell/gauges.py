"""Connects the services of a process to its metrics and its time line."""

import math
from collections.abc import Callable

from .callattempts import OpenCall
from .calls import Calls
from .metrics import Metrics
from .peers import Peers
from .replica import Replica
from .reply import Reply
from .timeline import Timeline

RecordCall = Callable[[OpenCall, Reply, float], None]


def make_call_recorder(timeline: Timeline, metrics: Metrics) -> RecordCall:
    """Return a function that records the result of a call."""

    def record_call(opened: OpenCall, reply: Reply, seconds: float) -> None:
        call = opened.call
        entry = call.entry.name
        timeline.record(
            'call_ended',
            request=call.request_id,
            workspace=call.workspace,
            target=opened.target,
            entry=entry,
            status=reply.status,
            seconds=seconds,
        )
        metrics.count('calls_total', entry=entry, status=str(reply.status))
        metrics.observe('call_seconds', seconds, entry=entry)

    return record_call


def add_gauge_sources(
    metrics: Metrics,
    timeline: Timeline,
    replica: Replica,
    peers: Peers,
    calls: Calls,
) -> None:
    """Register functions that update the gauges before each exposition."""

    def update_replica(sink: Metrics) -> None:
        age_s = replica.clock() - replica.read_at
        sink.gauge('log_applied_offset', replica.state.applied)
        sink.gauge('log_age_seconds', age_s if math.isfinite(age_s) else -1)
        sink.gauge('records_unreadable', replica.unreadable)
        sink.gauge('log_appends', replica.appender.appends)

    def update_peers(sink: Metrics) -> None:
        sink.gauge('peers_heard', len(peers.known))
        sink.gauge('peer_bytes_sent', peers.traffic.bytes_sent)
        sink.gauge('peer_messages_dropped', peers.traffic.messages_dropped)
        sink.gauge('peer_frames_malformed', peers.traffic.frames_malformed)

    def update_calls(sink: Metrics) -> None:
        sink.gauge('calls_open', len(calls.open))

    def update_timeline(sink: Metrics) -> None:
        for event, count in timeline.counts.items():
            sink.gauge('events', count, event=event)

    metrics.collectors.extend(
        (update_replica, update_peers, update_calls, update_timeline)
    )
