"""The line writer limits its rate and never blocks on its reader."""

import json
import os

import trio

from sassafras_base import line_writer


def _write(writer, count):
    for number in range(count):
        if writer.try_reserve():
            writer.write(json.dumps({"number": number}))


def test_lines_above_the_rate_are_counted_and_the_count_is_written():
    """Guards against log volume that grows with load, and unreported gaps."""
    read_end, write_end = os.pipe()
    now = [0.0]
    writer = line_writer.LineWriter(write_end, lambda: now[0])
    _write(writer, 5000)
    assert writer.dropped == 4000
    now[0] += 0.002
    _write(writer, 2)
    assert writer.dropped == 1
    text = b""
    while writer._pending:
        writer.flush()
        text += os.read(read_end, 1 << 20)
    lines = [json.loads(line) for line in text.splitlines()]
    assert len(lines) == 1000 + 2
    assert lines[1000:] == [{"dropped_lines": 4000}, {"number": 0}]


def test_a_reader_that_stops_does_not_stop_the_writer():
    """Guards against a node that blocks on the reader of its log."""
    _, write_end = os.pipe()
    now = [0.0]
    writer = line_writer.LineWriter(write_end, lambda: now[0])
    for _ in range(50):
        now[0] += 2.0
        _write(writer, 1000)
        writer.flush()
    assert writer.dropped > 0


async def test_a_line_after_a_silence_is_flushed():
    """Guards against a writer that sleeps on when lines come again."""
    read_end, write_end = os.pipe()
    writer = line_writer.LineWriter(write_end)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(writer.run)
        for line in ("first", "second"):
            await trio.sleep(0.5)
            writer.write(line)
            await trio.sleep(0.5)
            assert os.read(read_end, 100) == line.encode() + b"\n"
        nursery.cancel_scope.cancel()
