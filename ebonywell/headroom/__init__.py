"""Pauses of streams, and how much prompt work each kind of request may add.

A target reads the prompts of new requests between the decoding steps of its
running streams, so that each new prompt lengthens the pauses of all streams
there. A request that is admitted although it could be read later takes batch
and memory from a more urgent one.

- `arrivals` measures the pauses of one stream, and `pauses` predicts those of a
  target's streams.
- `terms` says which requests must leave headroom, and how much.
- `room` holds the decisions: how much prompt work may wait at a target for each
  rank, what a target lacks, and whether a request is admitted, held or
  rejected.
- `fairness` finds workspaces that are above their usual share of the work, and
  `cuts` says how many of their requests are turned away at once.
- `holding` keeps the held requests of a host, `gate` runs them, and
  `retrytimes` says when those that were turned away should return.
"""
