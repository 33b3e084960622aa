"""Results that are kept in case their link has gone silent."""

from clementinekeel.nodes import frames
from clementinekeel.nodes import result_memory


def answer(stream):
    return frames.Answer(stream, 200, b"", b"", 0, 0, 0, False, 0, 0)


def recalled(memory, stream):
    return [sent.data for sent in memory.recall(stream)]


def test_all_frames_of_a_result_are_recalled_in_order():
    memory = result_memory.ResultMemory()
    memory.record(answer(1), b"1a", 0.0)
    memory.record(answer(2), b"2a", 0.0)
    memory.record(frames.AnswerPart(1, b""), b"1b", 0.0)
    memory.record(frames.Refusal(3, "", 0, 0, 0), b"3", 0.0)
    assert recalled(memory, 1) == [b"1a", b"1b"]
    assert recalled(memory, 2) == [b"2a"]
    assert recalled(memory, 3) == [b"3"]
    assert recalled(memory, 4) == []


def test_result_without_its_first_frame_is_not_recalled():
    """The rest of an answer would be taken for a whole one."""
    memory = result_memory.ResultMemory()
    memory.record(answer(1), b"1a", 0.0)
    late = result_memory.MAX_AGE_S + 0.1
    memory.record(frames.AnswerPart(1, b""), b"1b", late)
    assert recalled(memory, 1) == []


def test_memory_is_bounded_in_bytes_and_time():
    memory = result_memory.ResultMemory()
    half = bytes(result_memory.MAX_BYTES // 2)
    for stream in range(4):
        memory.record(answer(stream), half, 0.0)
    assert [bool(memory.recall(stream)) for stream in range(4)] == [
        False,
        False,
        True,
        True,
    ]
    memory.forget_older(result_memory.MAX_AGE_S + 0.1)
    assert recalled(memory, 3) == []
