"""Simulated engines on a virtual clock: batches, prefill by rank, swaps."""

from dataclasses import dataclass, field

from .serving_demand import Request

# From the data sheets of small sites.
PROMPT_TOKENS_PER_MS = 25.8
STEP_MS = 8.2
# Additional time of a step for each request that produces output.
STEP_MS_PER_RUN = 0.15
SLOTS = 64
ENGINE_BYTES = 199_000_000_000
LOAD_S = 1.2
CACHED_LOAD_S = 0.7
# Number of models whose weights an engine caches on its disk.
MAX_CACHED_MODELS = 6
_MS = 1000.0


@dataclass(slots=True, eq=False)
class EngineRun:
    """A request that an engine has accepted.

    Attributes
    ----------
    request : Request
    prompt_left, output_left : float
        Tokens still to be read or produced.
    first_token_at : float or None
        Time of the first output token.
    """

    request: Request
    prompt_left: float
    output_left: float
    first_token_at: float | None = None


@dataclass(slots=True, eq=False)
class SimulatedEngine:
    """One simulated engine.

    Attributes
    ----------
    name : str
    models : dict of str to float
        When each model was loaded.
    cached_weights : list of str
        Models whose weights are on its disk, the most recently loaded last.
    runs : list of EngineRun
        Requests in the order in which their prompts are read.
    unloading : list of str
        Models that are to be unloaded before the load starts.
    loading : str
        Model that is loading or to be loaded; empty if none.
    load_end : float or None
        When the current load ends; None until it starts.
    """

    name: str
    models: dict[str, float] = field(default_factory=dict)
    cached_weights: list[str] = field(default_factory=list)
    runs: list[EngineRun] = field(default_factory=list)
    unloading: list[str] = field(default_factory=list)
    loading: str = ''
    load_end: float | None = None

    @property
    def is_busy(self) -> bool:
        """Whether the engine has unfinished orders."""
        return bool(self.unloading or self.loading)

    def loading_models(self) -> tuple[str, ...]:
        """Return the model that is loading, if any."""
        return (self.loading,) if self.loading else ()

    def used_models(self) -> frozenset[str]:
        """Return the models that requests on this engine use."""
        return frozenset(one.request.generation.model for one in self.runs)

    def start(self, request: Request, new_tokens: int) -> EngineRun:
        """Accept a request."""
        output = request.generation.likely_output_tokens
        run = EngineRun(request, new_tokens, output)
        self.runs.append(run)
        self.runs.sort(key=lambda one: one.request.kind.rank)
        return run

    def order_swap(self, unloads: list[str], load: str) -> None:
        """Order the unloads and the load of a swap."""
        for model in unloads:
            self.models.pop(model)
        self.unloading = list(unloads)
        self.loading = load

    def step(self, now: float, step_s: float) -> list[EngineRun]:
        """Advance by one step; return the requests that completed."""
        self._carry_out_swap(now)
        batch = self.runs[:SLOTS]
        running = [one for one in batch if one.first_token_at is not None]
        step_ms = STEP_MS + STEP_MS_PER_RUN * len(running)
        for producing in running:
            producing.output_left -= step_s * _MS / step_ms
        self._prefill(batch, now + step_s, step_s)
        ended = [one for one in batch if one.output_left <= 0]
        self.runs = [one for one in self.runs if one.output_left > 0]
        return ended

    def _prefill(
        self,
        batch: list[EngineRun],
        until: float,
        step_s: float,
    ) -> None:
        budget = step_s * _MS * PROMPT_TOKENS_PER_MS
        for run in batch:
            if run.first_token_at is not None:
                continue
            read = min(budget, run.prompt_left)
            budget -= read
            run.prompt_left -= read
            if run.prompt_left <= 0:
                run.first_token_at = until
            if budget <= 0:
                break

    def _carry_out_swap(self, now: float) -> None:
        used = self.used_models()
        self.unloading = [one for one in self.unloading if one in used]
        if self.unloading or not self.loading:
            return
        if self.load_end is None:
            load_s = (
                CACHED_LOAD_S if self.loading in self.cached_weights else LOAD_S
            )
            self.load_end = now + load_s
        if now >= self.load_end:
            self._finish_load(now)

    def _finish_load(self, now: float) -> None:
        self.models[self.loading] = now
        if self.loading in self.cached_weights:
            self.cached_weights.remove(self.loading)
        self.cached_weights.append(self.loading)
        del self.cached_weights[:-MAX_CACHED_MODELS]
        self.loading = ''
        self.load_end = None
