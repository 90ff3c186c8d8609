"""Guards the operators' commands against a host that runs on loopback."""

import pytest

from tests.daemon.operators.fleet import SmallFleet, json_of, small_fleet


async def test_status_is_up_with_exit_status_0(capsys: pytest.CaptureFixture) -> None:
    async with small_fleet() as fleet:
        assert await fleet.cli("status") == 0
        text = capsys.readouterr().out
        assert text.startswith("UP, as host host-1 (lecco) sees it at ")
        assert "accettazione: up" in text
        assert await fleet.cli("status", "accettazione") == 0
        text = capsys.readouterr().out
        assert "s-1: healthy" in text
        assert "s-2: healthy" in text


async def test_status_without_servers_is_down_with_exit_status_2(
    capsys: pytest.CaptureFixture,
) -> None:
    async with small_fleet() as fleet:
        fleet.tree["services"]["accettazione"]["upstreams"] = []
        await fleet.publish()
        for arguments in (["status"], ["status", "accettazione"]):
            assert await fleet.cli(*arguments) == 2
            text = capsys.readouterr().out
            assert text.startswith("DOWN")
            assert "no server is published" in text


async def test_status_while_draining_is_degraded_with_exit_status_1(
    capsys: pytest.CaptureFixture,
) -> None:
    async with small_fleet() as fleet:
        await fleet.node.async_drain()
        assert await fleet.cli("status") == 1
        assert "this host: degraded: draining" in capsys.readouterr().out


async def test_a_host_that_cannot_be_asked_gives_exit_status_3(
    capsys: pytest.CaptureFixture,
) -> None:
    async with small_fleet() as fleet:
        await fleet.node.async_stop()
        for command in ("status", "hosts", "workspaces", "config", "audit", "metrics"):
            assert await fleet.cli(command) == 3, command
        assert await fleet.cli("explain", "accettazione/repairs") == 3
        assert "check that the address is right" in capsys.readouterr().err


async def test_an_unknown_name_is_no_state(capsys: pytest.CaptureFixture) -> None:
    """Status 2 for a mistyped service would read as down."""
    async with small_fleet() as fleet:
        assert await fleet.cli("status", "acettazione") == 64
        assert "name one of: accettazione" in capsys.readouterr().err
        assert await fleet.cli("explain", "accettazione/none") == 64
        assert "accettazione/repairs" in capsys.readouterr().err
        with pytest.raises(SystemExit) as ended:
            await fleet.cli("status", "--watch", "never")
        assert ended.value.code == 64


async def test_each_command_prints_json_too(capsys: pytest.CaptureFixture) -> None:
    async with small_fleet() as fleet:
        for command in ("status", "hosts", "workspaces", "config", "audit"):
            assert await fleet.cli(command, "--json") == 0
            report = json_of(capsys.readouterr().out)
            assert report["head"]["host"] == "host-1", command
            assert report["head"]["revision"] == 1


async def test_config_and_hosts_tell_when_a_revision_came_into_force(
    capsys: pytest.CaptureFixture,
) -> None:
    async with small_fleet() as fleet:
        fleet.tree["services"]["accettazione"]["settings"] = {"healthy_floor": 0.5}
        await fleet.publish()
        await fleet.cli("config", "--json")
        config = json_of(capsys.readouterr().out)
        assert [line["revision"] for line in config["recent"]] == [2, 1]
        assert config["recent"][0]["at"] >= config["recent"][1]["at"]
        assert config["since"] == config["recent"][0]["at"]
        await fleet.cli("hosts", "--json")
        [host] = json_of(capsys.readouterr().out)["hosts"]
        assert host["revision"] == 2
        assert host["revision_since"][:19] == config["since"][:19]


async def test_audit_shows_the_difference_of_a_configuration(
    capsys: pytest.CaptureFixture,
) -> None:
    async with small_fleet() as fleet:
        fleet.tree["services"]["accettazione"]["settings"] = {"healthy_floor": 0.5}
        await fleet.publish()
        assert await fleet.cli("audit", "--limit", "1") == 0
        text = capsys.readouterr().out
        assert "configuration_accepted: revision 2 is in force, after 1" in text
        assert "services/accettazione: healthy_floor 0.7 -> 0.5" in text


async def test_a_rejected_revision_is_shown_with_its_remedy(
    capsys: pytest.CaptureFixture,
) -> None:
    async with small_fleet() as fleet:
        fleet.tree["fleet"]["max_hosts"] = 0
        await fleet.platform.async_publish(fleet.tree)
        await fleet.until(lambda c, now: c.configuration.snapshot().rejected)
        assert await fleet.cli("config") == 0
        text = capsys.readouterr().out
        assert "REJECTED revision 2:" in text
        assert "max_hosts" in text


async def test_explain_shows_the_level_that_set_a_value(
    capsys: pytest.CaptureFixture,
) -> None:
    async with small_fleet() as fleet:
        assert await fleet.cli("explain", "accettazione/repairs") == 0
        lines = capsys.readouterr().out.splitlines()
        [deadline] = [line for line in lines if "deadline_ms" in line]
        assert deadline.split() == [
            "deadline_ms",
            "4000.0",
            "ms",
            "route",
            "accettazione/repairs",
        ]


async def test_a_workspace_without_keys_is_held_back_by_key(
    capsys: pytest.CaptureFixture,
) -> None:
    async with small_fleet() as fleet:
        fleet.tree["workspaces"]["museum"]["keys"] = []
        await fleet.publish()
        await fleet.cli("status")
        text = capsys.readouterr().out
        assert "museum: key: key first withdrawn" in text
        assert "no key is published" in text
        await fleet.cli("workspaces")
        assert "no key is published" in capsys.readouterr().out


async def test_metrics_of_two_hosts_are_merged(capsys: pytest.CaptureFixture) -> None:
    async with small_fleet("host-1") as one, small_fleet("host-2") as two:
        await one.serve("/repairs/1", 3)
        await two.serve("/repairs/2", 4)
        await _async_recorded(one, 3)
        await _async_recorded(two, 4)
        other = str(two.node.operators_address)
        assert await one.cli("metrics", "--json", "--operators", other) == 0
        answer = json_of(capsys.readouterr().out)
        assert sorted(answer["hosts"]) == ["host-1", "host-2"]
        [service] = answer["services"]
        assert (service["name"], service["count"]) == ("accettazione", 7)
        assert 0 < service["p50_ms"] <= service["p99_ms"] <= service["max_ms"]


async def _async_recorded(fleet: SmallFleet, count: int) -> None:
    """Wait for the records, which follow the answers."""
    await fleet.until(
        lambda c, now: c.metrics.recent_of_service("accettazione", now).served >= count
    )
