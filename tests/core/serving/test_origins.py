from __future__ import annotations

from lycheepath.core.serving.origins import (
    MAX_ORIGINS,
    Origin,
    StreamOrigins,
)

ORIGIN = Origin("pool", "v1", "i-1")


def test_origin_of_a_stream_is_found_until_it_expires() -> None:
    origins = StreamOrigins()
    origins.record("r1", ORIGIN, 1.0)
    origins.record("r2", ORIGIN, 2.0)
    origins.record("r1", ORIGIN, 3.0)
    origins.expire(2.5)
    assert origins.find("r1") == ORIGIN
    assert origins.find("r2") is None


def test_streams_of_a_service_are_listed_since_a_time() -> None:
    origins = StreamOrigins()
    origins.record("r1", ORIGIN, 1.0)
    origins.record("r2", Origin("other", "v1", "i-2"), 2.0)
    origins.record("r3", ORIGIN, 3.0)
    assert list(origins.list_of_service("pool", 2.0)) == [("r3", ORIGIN, 3.0)]


def test_version_of_streams_since_a_targets_restart_is_discarded() -> None:
    origins = StreamOrigins()
    origins.record("early", ORIGIN, 1.0)
    origins.record("late", ORIGIN, 2.5)
    origins.record("other", Origin("pool", "v1", "i-2"), 2.5)
    assert origins.discard_restarted("i-1", since=2.0) == 1
    assert origins.find("late") == Origin("pool", "", "i-1")
    assert origins.find("early") == ORIGIN
    assert origins.find("other")


def test_number_of_origins_is_bounded() -> None:
    origins = StreamOrigins()
    for number in range(MAX_ORIGINS + 10):
        origins.record(f"r{number}", ORIGIN, float(number))
    assert origins.find("r9") is None
    assert origins.find("r10")
