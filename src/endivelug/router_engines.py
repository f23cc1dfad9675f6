"""Engines as one router sees them: state, own unfinished work, candidates."""

from collections.abc import Callable
from dataclasses import dataclass, field

from endivelug import _rendezvous
from endivelug._engine_load import EngineBounds
from endivelug.ejection import Ejector
from endivelug.messages import UpstreamEntry
from endivelug.outstanding_work import OutstandingWork
from endivelug.placement import Candidate
from endivelug.settings import PoolSettings

# Speed of the store of kept KV cache relative to recomputing.
IMPORT_SPEED_UP = 4.0


@dataclass(slots=True, kw_only=True)
class EngineState:
    """One engine.

    Attributes
    ----------
    versions : dict of str to str
        Weights version of each model that it serves.
    private : OutstandingWork
        Unfinished work of this router on it.
    """

    entry: UpstreamEntry
    pool: PoolSettings
    versions: dict[str, str]
    private: OutstandingWork = field(default_factory=OutstandingWork)


def parse_models(models: list[str]) -> dict[str, str]:
    """Parse ``model=version`` entries.

    Examples
    --------
    >>> parse_models(["chat=7", "broken"])
    {'chat': '7'}
    """
    pairs = (item.partition("=") for item in models)
    return {model: version for model, mark, version in pairs if mark}


class RouterEngines:
    """Engines of the data centre.

    Parameters
    ----------
    pools : dict of str to PoolSettings
        Settings of the pools by name.
    ejector : Ejector
        Knows which engines fail.
    """

    def __init__(self, *, pools: dict[str, PoolSettings], ejector: Ejector) -> None:
        self.pools = pools
        self.ejector = ejector
        self.engines: dict[str, EngineState] = {}

    def update(self, entries: list[UpstreamEntry]) -> list[str]:
        """Take the newest upstreams; return engines that restarted or went away."""
        gone = []
        listed = {
            entry.name: entry
            for entry in entries
            if entry.kind == "engine" and entry.pool in self.pools
        }
        for name in self.engines.keys() - listed.keys():
            del self.engines[name]
            gone.append(name)
        for name, entry in listed.items():
            known = self.engines.get(name)
            if known is not None and known.entry.incarnation != entry.incarnation:
                gone.append(name)
                known = None
            if known is None:
                self.engines[name] = EngineState(
                    entry=entry,
                    pool=self.pools[entry.pool],
                    versions=parse_models(entry.models),
                )
            else:
                known.entry = entry
                known.versions = parse_models(entry.models)
        for name in gone:
            self.ejector.remove(name)
        return gone

    def models(self) -> set[str]:
        """Return the models that any live engine serves."""
        return {
            model
            for state in self.engines.values()
            if state.entry.state == "live"
            for model in state.versions
        }

    def version_for(self, *, model: str, root: str) -> str | None:
        """Return the weights version for a prompt, or None where none is served.

        During a rolling change both versions are in use, each in proportion to the
        engines that serve it: the first engine of the prompt's root decides, so
        that one prefix stays with one version.

        Parameters
        ----------
        model : str
            Name of the model.
        root : str
            First piece of the prompt, or what identifies it.
        """
        serving = {
            name: state.versions[model]
            for name, state in self.engines.items()
            if state.entry.state == "live" and model in state.versions
        }
        if len(set(serving.values())) <= 1:
            return next(iter(serving.values()), None)
        first = _rendezvous.owner(f"version:{root}", serving)
        return None if first is None else serving[first]

    def bounds(self, *, model: str, version: str) -> dict[str, EngineBounds]:
        """Return the admission bounds of the live engines of a model's version."""
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
            Engines whose attempts of this request failed.
        """
        found = []
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
            state.private.expire(now)
            found.append(
                Candidate(
                    name=name,
                    incarnation=state.entry.incarnation,
                    weights_version=version,
                    serving=serving,
                    owner=owner_of(name) or "",
                    prefill_tokens_s=state.pool.prefill_tokens_s,
                    private=state.private,
                    import_tokens_s=(
                        state.pool.prefill_tokens_s * IMPORT_SPEED_UP
                        if state.pool.kept_cache
                        else 0.0
                    ),
                )
            )
        return found
