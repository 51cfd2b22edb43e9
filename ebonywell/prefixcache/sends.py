"""Describes the prompt of a request for the caches, when it is sent.

Made for requests that are sent more than once: each send tells anew what its
target is expected to have cached.
"""

from ..inbound import AdmittedRequest
from ..inventory import KnownTarget
from ..selection import MS_PER_S, Choice, estimate_saved_ms
from .prompts import describe_prompt
from .targetcache import SentPrompt

__all__ = ('SentPrompt', 'make_sent_prompt')


def make_sent_prompt(
    request: AdmittedRequest, selected: tuple[KnownTarget, Choice]
) -> SentPrompt:
    """Return what is known of a request's prompt when it is sent."""
    target, choice = selected
    chosen = choice.candidate
    return SentPrompt(
        target.incarnation,
        describe_prompt(request.generation),
        request.rank,
        chosen.new_tokens,
        chosen.kept_tokens,
        estimate_saved_ms(chosen) if chosen.kept_tokens else 0,
        choice.wait_s * MS_PER_S,
    )
