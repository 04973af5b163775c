from __future__ import annotations

import json

import pytest

from lycheepath.core.environment.findings import Findings
from lycheepath.host.settings import PeerKey, Settings
from lycheepath.host.settings_reader import read_settings

SECRET = "00112233445566778899aabbccddeeff"
VALID: dict[str, object] = {
    "host": "accra-host-a",
    "zone": "accra-a",
    "region": "accra",
    "listen": {"callers": "127.0.0.1:8080", "peers": "[::1]:9080"},
    "platform": {"url": "http://127.0.0.1:7000", "environment": "bridal"},
    "peer_keys": [{"id": "k1", "secret": SECRET}],
    "seeds": ["127.0.0.1:9081"],
    "drain_s": 20,
    "operator_key_sha256": "ab" * 32,
    "log": {"format": "text"},
}


def test_read_settings_returns_typed_settings() -> None:
    settings = read_settings(json.dumps(VALID))
    assert isinstance(settings, Settings)
    assert settings.listen_peers == "[::1]:9080"
    assert settings.peer_keys == (PeerKey("k1", bytes.fromhex(SECRET)),)
    assert settings.log.format == "text"
    assert settings.log.level == "INFO"


@pytest.mark.parametrize(
    ("edit", "pointer"),
    [
        ({"peer_keys": []}, "/peer_keys"),
        ({"peer_keys": [{"id": "k1", "secret": SECRET[:-2]}]}, "/peer_keys/0/secret"),
        ({"peer_keys": [{"id": "k", "secret": SECRET}] * 2}, "/peer_keys"),
        ({"listen": {"callers": "127.0.0.1:8080"}}, "/listen/peers"),
        ({"platform": {"url": "ftp://x", "environment": "a"}}, "/platform/url"),
        ({"seeds": ["10.0.0.300:1"]}, "/seeds/0"),
        ({"operator_key_sha256": "abc"}, "/operator_key_sha256"),
        ({"log": {"level": "LOUD"}}, "/log/level"),
        ({"drain_ms": 5}, "/drain_ms"),
    ],
)
def test_read_settings_reports_each_fault(
    edit: dict[str, object], pointer: str
) -> None:
    outcome = read_settings(json.dumps(VALID | edit))
    assert isinstance(outcome, Findings)
    assert [item.pointer for item in outcome.items] == [pointer]
    assert SECRET[:-2] not in outcome.items[0].describe()
