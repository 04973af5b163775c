"""
Cuts an event stream into whole events and keeps their order.

Only whole events are passed on, so that an answer which goes on at another
target joins no halves. Events that were passed on before are dropped, and a
gap in the ids ends the attempt::

    pieces = EventSplitter(last_id=None)
    ready = pieces.feed(b"id: 1\\ndata: x\\n\\nid: 2\\nda")
"""

from __future__ import annotations

EVENT_END = b"\n\n"
ID = b"id:"
# A line that begins so is a comment.
COMMENT = b":"
# An event that is larger is no event of an engine. Five hundred streams that send
# no end of one take 32 MB of a host.
MOST_EVENT_BYTES = 1 << 16


class EventOrderError(Exception):
    """The events of a stream are not in order, or are no events."""


class EventSplitter:
    """
    State: the id of the last event passed on, and what is not yet whole.

    ``made`` counts the events that say something, which comments don't.
    """

    def __init__(self, last_id: int | None) -> None:
        self.last_id = last_id
        self.event_count = 0
        self._rest = b""

    def feed(self, data: bytes) -> bytes:
        """Take bytes of the stream; return the whole events to pass on."""
        data = self._rest + data
        end = data.rfind(EVENT_END)
        if end < 0:
            self._keep(data)
            return b""
        end += len(EVENT_END)
        self._keep(data[end:])
        return b"".join(
            event + EVENT_END
            for event in data[: end - len(EVENT_END)].split(EVENT_END)
            if self._take(event)
        )

    def restart(self) -> None:
        """Begin with the answer of another target."""
        self._rest = b""

    @property
    def complete(self) -> bool:
        """Whether the stream ends at the end of an event."""
        return not self._rest.strip()

    def _keep(self, rest: bytes) -> None:
        if len(rest) > MOST_EVENT_BYTES:
            raise EventOrderError(f"an event is over {MOST_EVENT_BYTES} bytes")
        self._rest = rest

    def _take(self, event: bytes) -> bool:
        """Whether an event is to be passed on, by its id."""
        number = read_id(event)
        if number is None:
            self.event_count += not is_comment(event)
            return True
        last = self.last_id
        if last is not None and number <= last:
            return False
        if last is not None and number != last + 1:
            raise EventOrderError(f"event {number} follows event {last}")
        self.last_id = number
        self.event_count += 1
        return True


def is_comment(event: bytes) -> bool:
    """Whether an event has nothing but comments."""
    return all(line.startswith(COMMENT) for line in event.split(b"\n") if line)


def read_id(event: bytes) -> int | None:
    """Return the number in an event's ``id`` line."""
    at = 0 if event.startswith(ID) else event.find(b"\n" + ID) + 1
    if at == 0 and not event.startswith(ID):
        return None
    end = event.find(b"\n", at)
    text = event[at + len(ID) : end if end >= 0 else len(event)].strip()
    return int(text) if text.isdigit() else None
