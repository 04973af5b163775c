"""
Incremental decoder for bodies with chunked transfer encoding.

``h11`` decodes them too, but takes several times the processor time per event; tests
use it as the reference for what is valid::

    chunks = ChunkReader()
    data = chunks.feed(b"5\\r\\nhello\\r\\n0\\r\\n\\r\\n")
    chunks.ended
"""

from __future__ import annotations

import re

SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,20})(;[^\n]*)?[ \t]*")
TRAILER_LINE = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\x00\n\r]*")
LINE_END = b"\r\n"
# Largest size of a chunk's size line with its extensions, and of all trailers; the
# same as for heads.
MAX_LINE_BYTES = 16_384


class ChunkError(Exception):
    """The bytes aren't a valid chunked body."""


class ChunkReader:
    """State: the undecoded bytes and the rest of the current chunk."""

    def __init__(self) -> None:
        self.ended = False
        self._buffer = b""
        self._chunk_bytes_left = 0
        self._in_trailers = False
        self._trailer_bytes = 0

    @property
    def trailing_data(self) -> bytes:
        """The bytes received after the end of the body."""
        return self._buffer

    def feed(self, data: bytes) -> bytes:
        """Decode received bytes and return those of the body; raises ChunkError."""
        data = self._buffer + data
        parts = []
        at = 0
        while not self.ended:
            if self._chunk_bytes_left > len(LINE_END):
                end = min(at + self._chunk_bytes_left - len(LINE_END), len(data))
                parts.append(data[at:end])
                self._chunk_bytes_left -= end - at
                at = end
                if self._chunk_bytes_left > len(LINE_END):
                    break
            if self._chunk_bytes_left:
                if len(data) - at < len(LINE_END):
                    break
                if data[at : at + len(LINE_END)] != LINE_END:
                    raise ChunkError("a chunk doesn't end where it should")
                at += len(LINE_END)
                self._chunk_bytes_left = 0
            end = data.find(LINE_END, at, at + MAX_LINE_BYTES)
            if end < 0:
                if len(data) - at >= MAX_LINE_BYTES:
                    raise ChunkError("a line of the framing is too long")
                break
            self._parse_line(data[at:end])
            at = end + len(LINE_END)
        self._buffer = data[at:]
        return b"".join(parts)

    def _parse_line(self, line: bytes) -> None:
        if self._in_trailers:
            self._trailer_bytes += len(line) + len(LINE_END)
            if self._trailer_bytes > MAX_LINE_BYTES:
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
            self._chunk_bytes_left = size + len(LINE_END)
        else:
            self._in_trailers = True
