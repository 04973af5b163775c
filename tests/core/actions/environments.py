from __future__ import annotations

from lycheepath.core.environment.model import (
    Environment,
    Host,
    Issuers,
    Region,
    Service,
    Stage,
    Zone,
)
from lycheepath.host.settings import PeerKey

HOSTS = ("h1", "h2", "h3")
WINDOW_S = 120.0
ALL_HOSTS = Issuers()
KEYS = (PeerKey("b", b"second" * 6), PeerKey("a", b"first" * 6))


def make_environment(
    hosts: tuple[str, ...] = HOSTS,
    revision: int = 1,
    issuers: Issuers = ALL_HOSTS,
) -> Environment:
    return Environment(
        name="trial",
        revision=revision,
        stage=Stage.TRIAL,
        regions=(Region("accra"), Region("tamale")),
        zones=(Zone("accra-a", "accra"), Zone("tamale-a", "tamale")),
        hosts=(
            *(Host(host, "accra-a", f"{host}:80", f"{host}:81") for host in hosts),
            Host("far", "tamale-a", "far:80", "far:81"),
        ),
        targets=(),
        services=(Service("deposits", (), WINDOW_S),),
        issuers=issuers,
    )
