"""A short history of a day on the platform, without violations of rules."""

from dataclasses import replace

from lab.platform_history import Call, DayBounds, DayHistory, ReplicaRun

CALL = Call(
    'c1', '/book/1', 'key', 'host-1', False, 10, 20.0, 21.0, 200, 'desk-1',
    'c1', b'done',
)  # fmt: skip
STREAM = replace(
    CALL, request_id='c2', path='/chat/2', echoed_id='c2', seal='pool-1',
    events=(1, 2, 3, 4, 5), is_stream=True,
)  # fmt: skip
RUN = ReplicaRun('c1', 'desk-1', 'desk', 20.1, '/book/1', 'team', False)
STREAM_RUN = replace(
    RUN, request_id='c2', replica='pool-1', service='pool', path='/chat/2'
)


def good():
    return DayHistory(
        DayBounds('team', 100, 100, slack=0, retry_slack=1),
        [CALL, STREAM],
        [RUN, STREAM_RUN],
        {'book': 'desk', 'chat': 'pool'},
        accepted_fences={'pool-1': [(1, 'a'), (3, 'b')]},
    )
