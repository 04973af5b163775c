"""
Takes the chunked framing off a body, as its bytes come.

``h11`` does this too, at several times the processor time of an event; its
verdicts are the reference that tests compare with::

    chunks = ChunkReader()
    data = chunks.feed(b"5\\r\\nhello\\r\\n0\\r\\n\\r\\n")
    chunks.ended
"""

from __future__ import annotations

import re

SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,20})(;[^\n]*)?[ \t]*")
TRAILER_LINE = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\x00\n\r]*")
LINE_END = b"\r\n"
# Of a size with its extensions, and of all trailers; as for heads.
MOST_LINE_BYTES = 16_384


class ChunkError(Exception):
    """The bytes are no chunked body."""


class ChunkReader:
    """State: what of a chunk or a line is still to come."""

    def __init__(self) -> None:
        self.ended = False
        self._rest = b""
        self._left = 0
        self._in_trailers = False
        self._trailer_bytes = 0

    @property
    def rest(self) -> bytes:
        """What came behind the end of the body."""
        return self._rest

    def feed(self, data: bytes) -> bytes:
        """Take bytes; return those of the body. Raises ChunkError."""
        data = self._rest + data
        parts = []
        at = 0
        while not self.ended:
            if self._left > len(LINE_END):
                end = min(at + self._left - len(LINE_END), len(data))
                parts.append(data[at:end])
                self._left -= end - at
                at = end
                if self._left > len(LINE_END):
                    break
            if self._left:
                if len(data) - at < len(LINE_END):
                    break
                if data[at : at + len(LINE_END)] != LINE_END:
                    raise ChunkError("a chunk doesn't end where it should")
                at += len(LINE_END)
                self._left = 0
            end = data.find(LINE_END, at, at + MOST_LINE_BYTES)
            if end < 0:
                if len(data) - at >= MOST_LINE_BYTES:
                    raise ChunkError("a line of the framing is too long")
                break
            self._take_line(data[at:end])
            at = end + len(LINE_END)
        self._rest = data[at:]
        return b"".join(parts)

    def _take_line(self, line: bytes) -> None:
        if self._in_trailers:
            self._trailer_bytes += len(line) + len(LINE_END)
            if self._trailer_bytes > MOST_LINE_BYTES:
                raise ChunkError("the trailers are too long")
            if line and not TRAILER_LINE.fullmatch(line):
                raise ChunkError("a trailer can't be read")
            self.ended = not line
            return
        match = SIZE_LINE.fullmatch(line)
        if match is None:
            raise ChunkError("a chunk's size can't be read")
        size = int(match[1], 16)
        if size:
            self._left = size + len(LINE_END)
        else:
            self._in_trailers = True
