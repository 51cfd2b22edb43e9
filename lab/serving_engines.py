"""Engines on a virtual clock: batches, prompts by rank, loads, unloads."""

from dataclasses import dataclass, field

from .serving_demand import Request

# From the sheets of small sites.
PROMPT_TOKENS_PER_MS = 25.8
STEP_MS = 8.2
# How much longer a step takes for each request that runs.
STEP_MS_PER_RUN = 0.15
SLOTS = 64
ENGINE_BYTES = 199_000_000_000
LOAD_S = 1.2
CACHED_LOAD_S = 0.7
# Models whose weights an engine keeps on its disk.
MAX_CACHED_MODELS = 6
_MS = 1000.0


@dataclass(slots=True, eq=False)
class EngineRun:
    """A request on an engine.

    Attributes
    ----------
    request : Request
    prompt_left, output_left : float
        Tokens.
    first_token_at : float or None
        When its first token came.
    """

    request: Request
    prompt_left: float
    output_left: float
    first_token_at: float | None = None


@dataclass(slots=True, eq=False)
class SimulatedEngine:
    """One engine.

    Attributes
    ----------
    name : str
    models : dict of str to float
        When each model came.
    cached_weights : list of str
        Models on its disk, the latest loaded last.
    runs : list of EngineRun
        In the order in which prompts are read.
    unloading : list of str
        Models that go before anything is loaded.
    loading : str
        Empty for none.
    load_end : float or None
        When the load under way ends; None until it begins.
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
        """Whether it carries out orders."""
        return bool(self.unloading or self.loading)

    def loading_models(self) -> tuple[str, ...]:
        """Return the model that is on its way, if any."""
        return (self.loading,) if self.loading else ()

    def used_models(self) -> frozenset[str]:
        """Return the models that requests run on."""
        return frozenset(one.request.generation.model for one in self.runs)

    def start(self, request: Request, new_tokens: int) -> EngineRun:
        """Begin a request."""
        output = request.generation.likely_output_tokens
        run = EngineRun(request, new_tokens, output)
        self.runs.append(run)
        self.runs.sort(key=lambda one: one.request.kind.rank)
        return run

    def order_swap(self, unloads: list[str], load: str) -> None:
        """Give the orders of a swap."""
        for model in unloads:
            self.models.pop(model)
        self.unloading = list(unloads)
        self.loading = load

    def step(self, now: float, step_s: float) -> list[EngineRun]:
        """Work for a while; return the requests that ended."""
        self._carry_out(now)
        batch = self.runs[:SLOTS]
        running = [one for one in batch if one.first_token_at is not None]
        step_ms = STEP_MS + STEP_MS_PER_RUN * len(running)
        for producing in running:
            producing.output_left -= step_s * _MS / step_ms
        self._read_prompts(batch, now + step_s, step_s)
        ended = [one for one in batch if one.output_left <= 0]
        self.runs = [one for one in self.runs if one.output_left > 0]
        return ended

    def _read_prompts(
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

    def _carry_out(self, now: float) -> None:
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
