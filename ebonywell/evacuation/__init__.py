"""Targets that may get no requests for a while, or only few.

An operator evacuates an availability zone before work on it, and from then on
no target there may get a new request. A target that has just started, or has
lost its caches, is cold: it crashes if it gets requests at its usual rate.
Both hold for all hosts together, also while the store is away and while hosts
die or are cut off.

The modules are pure. `zones` keeps which availability zones are evacuated, from
the operator's records. `cold` keeps which targets are cold, from their
announcements and from what other hosts tell, and at what rate they may get
requests.
"""
