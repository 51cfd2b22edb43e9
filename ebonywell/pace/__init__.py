"""How fast each target works now, learned by all hosts together.

Targets of one service may differ in speed for good, each model has a pace of
its own, and a target shares its machine with others, so that it is slower at
times. One host sends one target too few requests to learn this alone, so hosts
share what they observe in their digests.

The modules are pure: `observations` describes one exchange with a target, as
the host that made it tells the others.
"""
