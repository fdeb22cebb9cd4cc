"""Log lines: bounded in number, and never in the way of a request."""

import json
import os

from sassafras_base import line_writer


def _write(writer, count):
    for number in range(count):
        if writer.admits():
            writer.write(json.dumps({"number": number}))


def test_lines_above_the_rate_are_counted_and_the_count_is_written():
    """Guards against logs that grow with the load, and silent gaps."""
    read_end, write_end = os.pipe()
    writer = line_writer.LineWriter(write_end)
    _write(writer, 5000)
    assert writer.dropped > 3000
    dropped = writer.dropped
    writer._allowed = 1.0
    _write(writer, 1)
    text = b""
    while writer._pending:
        writer.flush()
        text += os.read(read_end, 1 << 20)
    lines = text.decode().splitlines()
    assert json.loads(lines[0]) == {"number": 0}
    assert {"dropped_lines": dropped} in map(json.loads, lines)


def test_a_reader_that_stops_does_not_stop_the_writer():
    """Guards against a node that waits for whoever reads its log."""
    _, write_end = os.pipe()
    writer = line_writer.LineWriter(write_end)
    for _ in range(50):
        writer._allowed = 1000.0
        _write(writer, 1000)
        writer.flush()
    assert writer.dropped > 0
