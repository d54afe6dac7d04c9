"""Which answers are weak."""

from dataclasses import dataclass
from enum import Enum
from typing import Literal

import msgspec

#: An answer whose engine reports less confidence than this is weak.
DEFAULT_CONFIDENCE_THRESHOLD = 0.5


class ConfidenceUnknown(Enum):
    """Sentinel: the engine reported no confidence."""

    TOKEN = "unknown"


@dataclass(frozen=True, kw_only=True)
class Answer:
    """What the cascade looks at in a whole, buffered answer."""

    #: Tokens of the answer.
    tokens: int
    #: The engine's confidence from 0 to 1.
    confidence: float | Literal[ConfidenceUnknown.TOKEN] = ConfidenceUnknown.TOKEN
    #: Whether the engine stopped at its length limit before the end.
    is_cut_off: bool = False


class _Choice(msgspec.Struct):
    finish_reason: str | None = None


class _Usage(msgspec.Struct):
    completion_tokens: int = 1


class _Completion(msgspec.Struct):
    choices: list[_Choice]
    usage: _Usage = msgspec.field(default_factory=_Usage)
    confidence: float | None = None


_DECODER = msgspec.json.Decoder(_Completion)
_CUT_OFF = "length"


def read_answer(body: bytes) -> Answer:
    """
    Return what the JSON body of a completion says of its strength.

    A body of another form is taken for a strong answer: it is the engine's own, and
    passing it on is right where nothing speaks against it.
    """
    try:
        completion = _DECODER.decode(body)
    except msgspec.MsgspecError:
        return Answer(tokens=len(body))
    confidence = completion.confidence
    return Answer(
        tokens=completion.usage.completion_tokens,
        confidence=ConfidenceUnknown.TOKEN if confidence is None else confidence,
        is_cut_off=any(item.finish_reason == _CUT_OFF for item in completion.choices),
    )


def is_weak(answer: Answer, *, threshold: float = DEFAULT_CONFIDENCE_THRESHOLD) -> bool:
    """
    Return whether a better version should answer instead.

    Empty and cut-off answers are weak. Without a reported confidence nothing else
    is, so that engines that report none are not escalated at random.
    """
    if answer.tokens == 0 or answer.is_cut_off:
        return True
    if answer.confidence is ConfidenceUnknown.TOKEN:
        return False
    return answer.confidence < threshold
