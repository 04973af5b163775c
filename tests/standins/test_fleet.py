from __future__ import annotations

import json
from typing import TYPE_CHECKING

from lycheepath.core.environment.model import Environment
from lycheepath.core.environment.reading import read_environment
from lycheepath.host.settings import Settings
from lycheepath.host.settings_reader import read_settings

if TYPE_CHECKING:
    from standins.fleet import Fleet


async def test_fleet_publishes_what_a_host_accepts(fleet: Fleet) -> None:
    await fleet.start_platform()
    await fleet.start_engine("runner-1", "accra-1")
    await fleet.start_service("booking-1", "kumasi-1", "booking")
    for name, zone in (("host-1", "accra-1"), ("host-2", "kumasi-1")):
        fleet.add_host(name, zone)

    await fleet.publish_environment()
    published = await fleet.read("platform", "/v1/values/environment/demo")
    environment = read_environment(json.dumps(published["value"]))
    settings = read_settings(json.dumps(fleet.build_settings("host-1")))

    assert isinstance(environment, Environment), environment
    assert environment.revision == published["revision"] == 1
    assert isinstance(settings, Settings), settings
    assert settings.region == "accra"
