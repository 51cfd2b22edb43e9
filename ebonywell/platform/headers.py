"""Names of the platform's HTTP headers, in lower case."""

REQUEST_ID = b'request-id'
DEADLINE_MS = b'deadline-ms'
# The value is MODEL or MODEL/ADAPTER.
MODEL = b'model'
# Number of prompt tokens and maximum number of output tokens.
TOKEN_COUNT = b'token-count'
LENGTH_HINT = b'length-hint'
PROMPT_PREFIX = b'prompt-prefix'
LAST_EVENT_ID = b'last-event-id'
# Request id of the caller's attempt that received the stream's first event.
RESUMES = b'resumes'
AUTHORIZATION = b'authorization'
TENANT = b'tenant'
EXPECT_INSTANCE = b'expect-instance'
# Priority from 0, the most urgent, to 9; 5 if the header is absent.
REQUEST_PRIORITY = b'request-priority'
INSTANCE_ID = b'instance-id'
# States that the target has not run the request and will not run it.
NOT_EXECUTED = b'not-executed'
RETRY_AFTER = b'retry-after'
SERVER_LOAD = b'server-load'
# Requests per second that the target takes from all hosts together.
SERVER_LIMIT = b'server-limit'
# Set on requests that one host passes on to another.
FORWARDED_BY = b'ebonywell-forwarded-by'
# Rejections a second, from all machines, from which the target falls over.
SERVER_BRITTLE = b'server-brittle'
# Rises by one each time the store comes back from an older copy of itself.
STORE_ERA = b'store-era'
# The value is 1 in all answers of a target that is about to leave.
SERVER_LEAVING = b'server-leaving'

# Headers of a single connection, or set again for each hop; not forwarded.
HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'proxy-authorization',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'expect',
        b'content-length',
    )
)

# Headers that only this system sets on requests to targets. A caller's own
# values are dropped.
SET_BY_HOST = frozenset(
    (
        AUTHORIZATION,
        TENANT,
        EXPECT_INSTANCE,
        REQUEST_PRIORITY,
        DEADLINE_MS,
        FORWARDED_BY,
        b'expect-version',
        b'hold',
        b'pin-ms',
        b'kv-backup',
        b'kv-from',
        b'kv-fetch',
    )
)
