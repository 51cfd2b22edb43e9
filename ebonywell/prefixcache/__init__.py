"""Where prompts are still cached, and what that is worth to a request.

A target that holds the beginning of a prompt in its prefix cache answers
sooner, but only while it has memory and room. Many hosts share few targets, so
each host knows little from its own requests; it learns the rest from the
observations of the other hosts.

`prompts` names the cached parts of a prompt, `targetcache` keeps what one
target is believed to hold, `index` keeps that for all targets, and `weighing`
holds the pure decisions. Nothing here is stored or asked of a target.
"""
