"""How the memory of a process is divided, so that all of it stays in its limit.

Each buffer of a host has a bound of its own; a process that exceeds the limit
of all together is killed, with all requests that it has. `shares` derives the
bounds from the limit. `allocator` has freed memory returned to the system, as
else the largest extent of each buffer would add up over time.
"""
