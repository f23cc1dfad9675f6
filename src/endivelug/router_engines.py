"""State of the engines in one router: weights, own unfinished work, candidates."""

from collections.abc import Callable
from dataclasses import dataclass, field

from endivelug import _rendezvous
from endivelug._engine_load import EngineBounds
from endivelug.ejection import Ejector
from endivelug.messages import UpstreamEntry
from endivelug.outstanding_work import OutstandingWork
from endivelug.placement import Candidate
from endivelug.settings import PoolSettings

# Speed of importing from the KV cache store, relative to prefill.
IMPORT_SPEED_UP = 4.0


@dataclass(slots=True, kw_only=True)
class EngineState:
    """State of one engine in this router.

    Attributes
    ----------
    versions : dict of str to str
        Weights version of each model that the engine serves.
    own_work : OutstandingWork
        Unfinished work of this router on the engine.
    """

    entry: UpstreamEntry
    pool: PoolSettings
    versions: dict[str, str]
    own_work: OutstandingWork = field(default_factory=OutstandingWork)


def parse_models(models: list[str]) -> dict[str, str]:
    """Parse ``model=version`` entries; entries without ``=`` are ignored.

    Examples
    --------
    >>> parse_models(["chat=7", "broken"])
    {'chat': '7'}
    """
    pairs = (item.partition("=") for item in models)
    return {model: version for model, separator, version in pairs if separator}


class RouterEngines:
    """Engines of the data centre, by name.

    Parameters
    ----------
    pools : dict of str to PoolSettings
        Settings of the pools by name.
    ejector : Ejector
        Tracks failing engines.
    """

    def __init__(self, *, pools: dict[str, PoolSettings], ejector: Ejector) -> None:
        self.pools = pools
        self.ejector = ejector
        self.engines: dict[str, EngineState] = {}

    def update(self, entries: list[UpstreamEntry]) -> list[str]:
        """Apply the newest upstreams; return engines that restarted or were removed."""
        removed = []
        listed = {
            entry.name: entry
            for entry in entries
            if entry.kind == "engine" and entry.pool in self.pools
        }
        for name in self.engines.keys() - listed.keys():
            del self.engines[name]
            removed.append(name)
        for name, entry in listed.items():
            state = self.engines.get(name)
            if state is not None and state.entry.incarnation != entry.incarnation:
                removed.append(name)
                state = None
            if state is None:
                self.engines[name] = EngineState(
                    entry=entry,
                    pool=self.pools[entry.pool],
                    versions=parse_models(entry.models),
                )
            else:
                state.entry = entry
                state.versions = parse_models(entry.models)
        for name in removed:
            self.ejector.remove(name)
        return removed

    def models(self) -> set[str]:
        """Return the models that any live engine serves."""
        return {
            model
            for state in self.engines.values()
            if state.entry.state == "live"
            for model in state.versions
        }

    def version_for(self, *, model: str, root: str) -> str | None:
        """Return the weights version for a prompt, or None if none is served.

        During a rolling update both versions are in use, each in proportion to the
        engines that serve it. The engine that ranks first for the prompt's root
        decides, so that all requests with one prefix use one version.

        Parameters
        ----------
        model : str
            Name of the model.
        root : str
            First segment of the prompt, or a text that identifies it.
        """
        serving = {
            name: state.versions[model]
            for name, state in self.engines.items()
            if state.entry.state == "live" and model in state.versions
        }
        if len(set(serving.values())) <= 1:
            return next(iter(serving.values()), None)
        deciding_engine = _rendezvous.owner(f"version:{root}", serving)
        return None if deciding_engine is None else serving[deciding_engine]

    def bounds(self, *, model: str, version: str) -> dict[str, EngineBounds]:
        """Return the admission bounds of the live engines of a weights version."""
        return {
            name: EngineBounds(
                prefill_tokens_s=state.pool.prefill_tokens_s,
                batch_prefill_tokens=int(state.pool.batch_prefill_tokens),
                max_streams=int(state.pool.max_streams),
            )
            for name, state in self.engines.items()
            if state.entry.state == "live" and state.versions.get(model) == version
        }

    def candidates(
        self,
        *,
        model: str,
        version: str,
        adapter: str,
        owner_of: Callable[[str], str | None],
        excluded: set[str],
        now: float,
    ) -> list[Candidate]:
        """Return the candidates for one placement.

        Parameters
        ----------
        owner_of : callable
            Returns the agent that owns an engine.
        excluded : set of str
            Engines on which attempts of this request failed.
        """
        result = []
        for name, state in self.engines.items():
            if state.versions.get(model) != version:
                continue
            if adapter and adapter not in state.entry.adapters:
                continue
            serving = (
                state.entry.state == "live"
                and name not in excluded
                and self.ejector.is_usable(name, now=now)
            )
            state.own_work.expire(now)
            result.append(
                Candidate(
                    name=name,
                    incarnation=state.entry.incarnation,
                    weights_version=version,
                    serving=serving,
                    owner=owner_of(name) or "",
                    prefill_tokens_s=state.pool.prefill_tokens_s,
                    own_work=state.own_work,
                    import_tokens_s=(
                        state.pool.prefill_tokens_s * IMPORT_SPEED_UP
                        if state.pool.kept_cache
                        else 0.0
                    ),
                )
            )
        return result
