"""Reads streams on from their targets while their callers read slowly.

A target has a slot and memory for each of its streams, and cuts off an answer
that stays unread for some seconds. So what a caller does not take is held back
on its connection, up to a bound for each caller and one for the host, and the
target is read on.

`backlog` decides by pure state who is too slow, and `victims` who is cut when
the memory of the host does not suffice. `heldanswers` writes to the connection
and holds the rest back; `streamsends` tells it which answers are streams.
"""
