"""Generator of request traces with nested prefixes and shifting popularity."""

import hashlib
import random
from collections.abc import Iterator
from dataclasses import dataclass

# With the skew of the guides, the most popular guide gets over a fifth of all requests:
# more than the equal share of one of five engines.
ORGANISATION_WEIGHTS = [0.40, 0.20, 0.12, 0.08, 0.07, 0.05, 0.04, 0.04]
GUIDE_SKEW = 1.5
LARGE_ORGANISATIONS = 3
SEGMENT_TOKENS = 2000
PHASE_S = 60.0


@dataclass(slots=True, kw_only=True)
class Deployment:
    """Sizes of one reference deployment.

    Attributes
    ----------
    requests_s : float
        Mean rate, at which the oracle uses 0.7 to 0.85 of the capacity.
    guide_segments, case_segments : tuple of int
        Least and greatest number of segments.
    guides : tuple of int
        Number of guides of a large organisation and of any other one.
    case_lifetime_s : float
        Mean time for which requests about a case arrive.
    interactive_share : float
        Share of interactive requests.
    guide_only_share : float
        Share of interactive requests without a case.
    interactive_tokens, batch_tokens : tuple of int
        Least and greatest number of tokens of the question, the last segment.
    interactive_output, batch_output : tuple of int
        Least and greatest number of output tokens.
    weights_load_s : float
        Seconds that an engine takes to load a version of the weights.
    """

    name: str
    objective: str
    requests_s: float
    guide_segments: tuple[int, int]
    case_segments: tuple[int, int]
    guides: tuple[int, int]
    cases_per_guide: int
    case_lifetime_s: float
    interactive_share: float
    guide_only_share: float
    interactive_tokens: tuple[int, int]
    interactive_output: tuple[int, int]
    batch_tokens: tuple[int, int]
    batch_output: tuple[int, int]
    weights_load_s: float


FURANO = Deployment(
    name="furano",
    objective="latency",
    requests_s=12.0,
    guide_segments=(2, 4),
    case_segments=(1, 3),
    guides=(10, 4),
    cases_per_guide=3,
    case_lifetime_s=60.0,
    interactive_share=0.75,
    guide_only_share=0.9,
    interactive_tokens=(60, 300),
    interactive_output=(40, 200),
    batch_tokens=(300, 1500),
    batch_output=(100, 300),
    weights_load_s=1.0,
)
COOP = Deployment(
    name="coop",
    objective="reuse",
    requests_s=9.0,
    guide_segments=(4, 6),
    case_segments=(1, 4),
    guides=(6, 3),
    cases_per_guide=3,
    case_lifetime_s=60.0,
    interactive_share=0.75,
    guide_only_share=0.8,
    interactive_tokens=(60, 300),
    interactive_output=(20, 80),
    batch_tokens=(200, 800),
    batch_output=(100, 300),
    weights_load_s=2.0,
)


@dataclass(slots=True, kw_only=True)
class Request:
    """One request of the trace.

    Attributes
    ----------
    contents : list of str
        Label that identifies the content of each segment, root first.
    tokens : list of int
        Tokens of each segment.
    shared_segments : int
        Number of segments up to the end of the guide.
    router : int
        Index of the router that receives the request.
    """

    at: float
    organisation: str
    contents: list[str]
    tokens: list[int]
    shared_segments: int
    interactive: bool
    output_tokens: int
    router: int


def _segment_labels(label: str, count_range: tuple[int, int]) -> list[str]:
    """Return the segment labels of a text; a hash of its label sets their number."""
    digest = hashlib.blake2b(label.encode(), digest_size=2).digest()
    count = count_range[0] + digest[0] % (count_range[1] - count_range[0] + 1)
    return [f"{label}.{number}" for number in range(count)]


def _zipf_rank(rng: random.Random, count: int, skew: float = 1.0) -> int:
    """Return a random Zipf-distributed rank, from 0 to below a count."""
    weights = [(rank + 1.0) ** -skew for rank in range(count)]
    return rng.choices(range(count), weights)[0]


def generate(
    deployment: Deployment, *, seed: int, seconds: float, routers: int
) -> Iterator[Request]:
    """Yield the requests of a trace in the order of their times.

    Every minute, the rate switches between 8% above and 8% below the mean, and the most
    popular guides change. Halfway, two organisations swap their shares.
    """
    rng = random.Random(f"{deployment.name} {seed}")
    at = 0.0
    number = 0
    cases: dict[tuple[int, int, int], tuple[int, float]] = {}
    while True:
        phase = int(at / PHASE_S)
        rate = deployment.requests_s * (1.08 if phase % 2 else 0.92)
        at += rng.expovariate(rate)
        if at >= seconds:
            return
        weights = list(ORGANISATION_WEIGHTS)
        if at > seconds / 2:
            weights[1], weights[4] = weights[4], weights[1]
        index = rng.choices(range(len(weights)), weights)[0]
        organisation = f"org{index}"
        count = deployment.guides[0 if index < LARGE_ORGANISATIONS else 1]
        guide = (_zipf_rank(rng, count, GUIDE_SKEW) + phase) % count
        slot = (index, guide, _zipf_rank(rng, deployment.cases_per_guide))
        case, case_ends_at = cases.get(slot, (0, 0.0))
        if at >= case_ends_at:
            number += 1
            case = number
            case_ends_at = at + rng.expovariate(1.0 / deployment.case_lifetime_s)
            cases[slot] = (case, case_ends_at)
        interactive = rng.random() < deployment.interactive_share
        contents = [f"{organisation}/rules"]
        contents += _segment_labels(
            f"{organisation}/guide{guide}", deployment.guide_segments
        )
        shared_segments = len(contents)
        if not (interactive and rng.random() < deployment.guide_only_share):
            label = f"{organisation}/guide{guide}/case{case}"
            contents += _segment_labels(label, deployment.case_segments)
        number += 1
        contents.append(f"question{number}")
        question_tokens = (
            deployment.interactive_tokens if interactive else deployment.batch_tokens
        )
        output = (
            deployment.interactive_output if interactive else deployment.batch_output
        )
        yield Request(
            at=at,
            organisation=organisation,
            contents=contents,
            tokens=[SEGMENT_TOKENS] * (len(contents) - 1)
            + [rng.randint(*question_tokens)],
            shared_segments=shared_segments,
            interactive=interactive,
            output_tokens=rng.randint(*output),
            router=rng.randrange(routers),
        )


def working_set(requests: list[Request], *, window_s: float = 60.0) -> int:
    """Return the mean number of tokens of distinct reusable segments in a window."""
    sizes = []
    last = max(request.at for request in requests)
    start = 0.0
    while start + window_s <= last:
        seen: dict[str, int] = {}
        for request in requests:
            if start <= request.at < start + window_s:
                seen.update(zip(request.contents[:-1], request.tokens, strict=False))
        sizes.append(sum(seen.values()))
        start += window_s
    return int(sum(sizes) / len(sizes))
