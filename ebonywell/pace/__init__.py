"""How fast each target works now, learned by all hosts together.

Targets of one service may differ in speed for good, each model has a pace of
its own, and a target shares its machine with others, so that it is slower at
times. One host sends one target too few requests to learn this alone, so hosts
share what they observe in their digests.

`observations` describes one exchange with a target, as the host that made it
tells the others; `serverload` reads what the target states. `learning` learns
factors from noisy durations, `machines` knows how slow machines are now, and
`pacebook` puts them together to a `Pace` (`paces`). All of these are pure.
`firstbytes` forms observations, `sharing` exchanges them in digests, and
`gauges` shows what was learned.
"""
