import json

from hypothesis import given
from hypothesis import strategies as st

from endivelug._sse import DONE, EngineEvent
from endivelug.standin_engine import expected_text
from endivelug.stream_state import Deliver, Gap, Skip, StreamState

MESSAGES = [{"role": "user", "content": "hello"}]
TOKENS = 12
TEXT_AFTER = [
    expected_text(messages=MESSAGES, model="m", version="1", tokens=n)
    for n in range(TOKENS + 1)
]


def make_state(*, usage=False, **options):
    body = {"model": "m", "messages": MESSAGES, "max_tokens": TOKENS}
    return StreamState(completion_id="c", wants_usage=usage, body=body, **options)


def engine_events(body):
    """Return the events that an engine sends in response to ``body``."""
    messages = list(body["messages"])
    text = messages.pop()["content"] if body.get("continue_final_message") else ""
    start = TEXT_AFTER.index(text)
    assert messages == MESSAGES
    assert body["max_tokens"] == TOKENS - start

    def chunk(delta, finish=None):
        return [{"index": 0, "delta": delta, "finish_reason": finish}]

    rows = [chunk({"role": "assistant", "content": ""})]
    for index in range(start, TOKENS):
        rows.append(chunk({"content": TEXT_AFTER[index + 1][len(TEXT_AFTER[index]) :]}))
    rows.append(chunk({}, "length"))
    documents = [{"id": body["stream_id"], "choices": choices} for choices in rows]
    usage = {"prompt_tokens": 5 + start, "completion_tokens": TOKENS - start}
    documents.append({"id": body["stream_id"], "choices": [], "usage": usage})
    events = [
        EngineEvent(number=number, data=json.dumps(document), chunk=document)
        for number, document in enumerate(documents)
    ]
    return [*events, EngineEvent(number=len(events), data=DONE, chunk={})]


# Guards against lost, repeated or renumbered events after any sequence of broken
# connections and changes of the engine.
@given(
    usage=st.booleans(),
    breaks=st.lists(st.tuples(st.integers(0, TOKENS + 4), st.booleans()), max_size=5),
)
def test_any_sequence_of_breaks_delivers_the_complete_text(usage, breaks):
    state = make_state(usage=usage)
    delivered = []
    events = engine_events(state.begin_attempt())
    breaks = [*breaks, (1000, False)]
    for length, other_engine in breaks:
        for event in events[state.next_engine_number :][:length]:
            # Neither a duplicate nor an event that skips others reaches the caller.
            if event.number:
                earlier = events[event.number - 1]
                assert state.accept(earlier) == Skip()
            if event.number + 1 < len(events):
                result = state.accept(events[event.number + 1])
                assert result == Gap(resume_after=event.number - 1)
            result = state.accept(event)
            if isinstance(result, Deliver):
                delivered.append(result)
        if state.done:
            break
        if other_engine:
            if state.can_complete_locally:
                delivered += state.complete_locally()
                break
            events = engine_events(state.begin_attempt())
    assert state.done
    assert [item.number for item in delivered] == list(range(len(delivered)))
    chunks = [json.loads(item.data) for item in delivered[:-1]]
    assert delivered[-1].data == DONE
    assert {chunk["id"] for chunk in chunks} == {"c"}
    choices = [chunk["choices"][0] for chunk in chunks if chunk["choices"]]
    assert "".join(c["delta"].get("content", "") for c in choices) == TEXT_AFTER[-1]
    assert [c["finish_reason"] for c in choices][-1] == "length"
    assert len(chunks) - len(choices) == usage
    assert state.usage["completion_tokens"] == TOKENS


# Guards against memory that grows with the length of a stream.
def test_text_above_the_limit_is_discarded_and_prevents_continuation():
    state = make_state(max_text_characters=20)
    for event in engine_events(state.begin_attempt())[:6]:
        state.accept(event)
    assert state.text is None
    assert state.begin_attempt() is None
    assert not state.can_continue
    assert state.resume_after == 5


# Guards against a continuation that loses tool calls: only text can be passed to the
# next engine.
def test_tool_calls_are_resumed_but_never_continued():
    state = make_state()
    events = engine_events(state.begin_attempt())
    state.accept(events[0])
    events[1].chunk["choices"][0]["delta"]["tool_calls"] = []
    state.accept(events[1])
    assert not state.can_continue
