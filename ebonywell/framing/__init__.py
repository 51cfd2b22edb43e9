"""What may frame an answer of a target or of another host.

Faulty peers send first lines that no answer has. Parsers differ in what they
let pass, so `statuses` says for both doors which statuses are answers, for
whole answers, streams, and streams that go on at another target. The modules
are pure.
"""
