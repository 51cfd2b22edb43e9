"""How long hosts have to remember where streams began.

A caller may resume a stream for as long as it was granted when it began: its
deadline, or the time-out that its route had then. Neither is known beforehand,
and the operator may change the time-out while streams run.

`memory` keeps the origins of streams, each until its own end. `granted` derives
from all recent configurations for how long any stream may still be resumed,
and what the lease holder states in the shared store about it. Both are pure.
`defaults` reads and writes what the store holds for streams without a record.
All are designed for time-outs from seconds to hours, and for hosts of an
earlier build beside, which forget each stream after `MIN_LIFE_S`.
"""
