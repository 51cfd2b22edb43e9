"""Pauses of streams, and how much prompt work each kind of request may add.

A target reads the prompts of new requests between the decoding steps of its
running streams, so that each new prompt lengthens the pauses of all streams
there. A request that is admitted although it could be read later takes batch
and memory from a more urgent one.

`arrivals` measures the pauses of one stream, `pauses` predicts those of a
target's streams, and `terms` says which requests are judged by them.
"""
