"""
Splits an event stream into complete events and checks their order.

Only complete events are passed on, so that an answer which is resumed at another
target doesn't join two partial events. Events that were passed on before are
dropped, and a gap in the ids ends the attempt::

    splitter = EventSplitter(last_id=None)
    complete = splitter.feed(b"id: 1\\ndata: x\\n\\nid: 2\\nda")
"""

from __future__ import annotations

EVENT_END = b"\n\n"
# Most digits of an id that is read as a number.
MAX_ID_DIGITS = 18
ID_FIELD = b"id:"
# Prefix of a comment line.
COMMENT_PREFIX = b":"
# Maximum size of an event; engines send no larger ones. Five hundred streams that never
# end an event thus occupy 32 MB of a host.
MAX_EVENT_BYTES = 1 << 16


class EventOrderError(Exception):
    """The events of a stream are out of order or malformed."""


class EventSplitter:
    """
    The id of the last event passed on, and the bytes of an incomplete event.

    ``event_count`` is the number of events passed on that aren't just comments,
    ``received_id`` the id of the current answer's last event, passed on or not.
    ``notice`` is a comment that isn't passed on, ``notice_count`` how often it came.
    """

    def __init__(self, last_id: int | None) -> None:
        self.last_id = last_id
        self.event_count = 0
        self.received_id: int | None = None
        self.notice = b""
        self.notice_count = 0
        self._partial = b""

    def feed(self, data: bytes) -> bytes:
        """Add bytes of the stream; return the complete events to pass on."""
        data = self._partial + data
        end = data.rfind(EVENT_END)
        if end < 0:
            self._keep_partial(data)
            return b""
        end += len(EVENT_END)
        self._keep_partial(data[end:])
        return b"".join(
            event + EVENT_END
            for event in data[: end - len(EVENT_END)].split(EVENT_END)
            if self._should_pass(event)
        )

    def fork(self) -> EventSplitter:
        """Return a splitter for another answer, after the events passed on so far."""
        splitter = EventSplitter(self.last_id)
        splitter.event_count = self.event_count
        return splitter

    def check_end(self, identified: bool) -> None:
        """
        Raise EventOrderError if the current answer can't be the rest of the stream.

        An answer without an event shows that none was left only if it is
        ``identified`` as the answer to this request.
        """
        last, received = self.last_id, self.received_id
        if last is None:
            return
        if received is None and not identified:
            raise EventOrderError(
                f"the answer has no event after event {last}, and no id"
            )
        if received is not None and received < last:
            raise EventOrderError(
                f"the answer ends with event {received}, before event {last}"
            )

    @property
    def resumable(self) -> bool:
        """Whether another answer can go on: no event, or one with an id, was passed."""
        return self.last_id is not None or not self.event_count

    @property
    def complete(self) -> bool:
        """Whether the stream so far ends with a complete event."""
        return not self._partial.strip()

    def _keep_partial(self, rest: bytes) -> None:
        if len(rest) > MAX_EVENT_BYTES:
            raise EventOrderError(f"an event is over {MAX_EVENT_BYTES} bytes")
        self._partial = rest

    def _should_pass(self, event: bytes) -> bool:
        """Return whether an event is to be passed on, and record its id."""
        number = read_id(event)
        if number is None:
            return self._should_pass_without_id(event)
        last = self.last_id
        self.received_id = number
        if last is not None and number <= last:
            return False
        if last is not None and number != last + 1:
            raise EventOrderError(f"event {number} follows event {last}")
        self.last_id = number
        self.event_count += 1
        return True

    def _should_pass_without_id(self, event: bytes) -> bool:
        if self.notice and event == self.notice:
            self.notice_count += 1
            return False
        if is_comment(event):
            return True
        if self.last_id is not None and self.received_id is None:
            raise EventOrderError(
                f"an event without an id follows event {self.last_id} of another answer"
            )
        self.event_count += 1
        return True


def is_comment(event: bytes) -> bool:
    """Whether an event consists of comments only."""
    return all(line.startswith(COMMENT_PREFIX) for line in event.split(b"\n") if line)


def read_id(event: bytes) -> int | None:
    """Return the number in an event's ``id`` line, or None."""
    at = 0 if event.startswith(ID_FIELD) else event.find(b"\n" + ID_FIELD) + 1
    if at == 0 and not event.startswith(ID_FIELD):
        return None
    end = event.find(b"\n", at)
    text = event[at + len(ID_FIELD) : end if end >= 0 else len(event)].strip()
    return int(text) if text.isdigit() and len(text) <= MAX_ID_DIGITS else None
