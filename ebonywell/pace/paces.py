"""The pace of a target for one model at one moment."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Pace:
    """How fast a target works now for one model, or for a plain service.

    Attributes
    ----------
    tokens_per_ms : float
        Prompt tokens of the model that the target reads in a millisecond.
    ahead_tokens_per_ms : float
        The same for tokens at the usual pace, in which hosts count the prompts
        that wait at a target; see `usual_tokens`.
    step_ms : float
        Duration of a step of the batch.
    plain_ms : float
        Time that a request to a plain service occupies a slot.
    target_factor : float
        Lasting factor of the target; 1 if it is as fast as others.
    machine_percent : int
        Newest statement of its machine's state; 0 if unknown.
    machine_age_s : float
        Age of that statement.
    """

    tokens_per_ms: float
    ahead_tokens_per_ms: float
    step_ms: float
    plain_ms: float
    target_factor: float = 1
    machine_percent: int = 0
    machine_age_s: float = 0

    def usual_tokens(self, tokens: int) -> int:
        """Return the tokens at usual pace that take as long as these."""
        return round(tokens * self.ahead_tokens_per_ms / self.tokens_per_ms)
