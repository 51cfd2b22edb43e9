"""Header names of the platform, in lower case."""

REQUEST_ID = b'request-id'
DEADLINE_MS = b'deadline-ms'
# MODEL or MODEL/ADAPTER.
MODEL = b'model'
# The prompt's tokens and the most that the answer may have.
TOKEN_COUNT = b'token-count'
LENGTH_HINT = b'length-hint'
PROMPT_PREFIX = b'prompt-prefix'
LAST_EVENT_ID = b'last-event-id'
AUTHORIZATION = b'authorization'
TENANT = b'tenant'
EXPECT_INSTANCE = b'expect-instance'
# From 0, the most urgent, to 9; 5 where it is absent.
REQUEST_PRIORITY = b'request-priority'
INSTANCE_ID = b'instance-id'
# The target has not run the request and never will.
NOT_EXECUTED = b'not-executed'
RETRY_AFTER = b'retry-after'
SERVER_LOAD = b'server-load'

# Concern one connection only, or are set anew.
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

# Set by this system towards targets, whatever a caller sent.
SET_BY_HOST = frozenset(
    (
        AUTHORIZATION,
        TENANT,
        EXPECT_INSTANCE,
        REQUEST_PRIORITY,
        DEADLINE_MS,
        b'expect-version',
        b'hold',
        b'pin-ms',
        b'kv-backup',
        b'kv-from',
        b'kv-fetch',
    )
)
