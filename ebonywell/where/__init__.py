"""Says where a request would go now, and why.

An operator asks a running host on its metrics port, from the host itself. The
answer comes from the decision that serves requests, on the same data; nothing
is sent to a target and nothing is reserved. `questions` makes the request that
the operator describes, and `views` describes the decision. Neither does I/O.
"""
