"""Tests of the operators' commands against hosts on loopback."""

import json
from datetime import timedelta

import pytest
from attrs import evolve

from tests.daemon.operators.fleet import ROUTE, publish_tree, run_cli, wait_until
from tests.fleet import Fleet, request, running_fleet

uses_shared_fleet = pytest.mark.asyncio(loop_scope="module")
CapturedOutput = pytest.CaptureFixture[str]


@uses_shared_fleet
async def test_status_is_up_with_exit_status_0(
    fleet: Fleet, capsys: CapturedOutput
) -> None:
    assert await run_cli(fleet, "status") == 0
    text = capsys.readouterr().out
    assert text.startswith("UP, as host host-1 (perth-1) sees it at ")
    assert "catalogue: up" in text
    assert await run_cli(fleet, "status", "catalogue") == 0
    text = capsys.readouterr().out
    assert "catalogue-1: healthy" in text
    assert "catalogue-2: healthy" in text


@uses_shared_fleet
async def test_unknown_name_exits_with_status_64(
    fleet: Fleet, capsys: CapturedOutput
) -> None:
    """Exit status 2 for a mistyped service would report it as down."""
    assert await run_cli(fleet, "status", "catalog") == 64
    assert "name one of: catalogue" in capsys.readouterr().err
    assert await run_cli(fleet, "explain", "catalogue/none") == 64
    assert ROUTE in capsys.readouterr().err
    with pytest.raises(SystemExit) as ended:
        await run_cli(fleet, "status", "--watch", "never")
    assert ended.value.code == 64


@uses_shared_fleet
async def test_each_command_prints_json_too(
    fleet: Fleet, capsys: CapturedOutput
) -> None:
    for command in ("status", "hosts", "workspaces", "config", "audit"):
        assert await run_cli(fleet, command, "--json") == 0
        report = json.loads(capsys.readouterr().out)
        assert report["head"]["host"] == "host-1", command
        assert report["head"]["revision"] == 1


@uses_shared_fleet
async def test_each_command_prints_text(fleet: Fleet, capsys: CapturedOutput) -> None:
    """Also checks the decoding of reports, since the text is built from them."""
    expected = {
        "hosts": "host-1  perth-1      alive, hub of this host  this host",
        "workspaces": "studio     1e+06/s  1e+06",
        "config": "1 services, 2 servers, 5 routes, 2 workspaces; store revision 1",
        "audit": "configuration_accepted: revision 1 is in force, after 0",
    }
    for command, text in expected.items():
        assert await run_cli(fleet, command) == 0
        assert text in capsys.readouterr().out


@uses_shared_fleet
async def test_explain_shows_the_level_that_set_a_value(
    fleet: Fleet, capsys: CapturedOutput
) -> None:
    assert await run_cli(fleet, "explain", "catalogue/linked") == 0
    lines = capsys.readouterr().out.splitlines()
    found = {line.split()[0]: line.split()[1:] for line in lines[1:]}
    parameter = found["key_query_parameter"]
    assert parameter == ['"key"', "route", "catalogue/linked"]
    assert found["deadline_ms"] == ["5000.0", "ms", "root"]
    assert found["max_attempts"] == ["3", "attempts", "default"]


async def test_status_without_servers_is_down_with_exit_status_2(
    capsys: CapturedOutput,
) -> None:
    async with running_fleet() as fleet:
        fleet.tree["services"]["catalogue"]["upstreams"] = []
        await publish_tree(fleet)
        for arguments in (["status"], ["status", "catalogue"]):
            assert await run_cli(fleet, *arguments) == 2
            text = capsys.readouterr().out
            assert text.startswith("DOWN")
            assert "no server is published" in text


async def test_draining_gives_exit_status_1_and_a_stopped_host_3(
    capsys: CapturedOutput,
) -> None:
    def with_short_notice(settings):  # type: ignore[no-untyped-def]
        return evolve(settings, drain_notice=timedelta(milliseconds=1))

    async with running_fleet(edit_settings=with_short_notice) as fleet:
        await fleet.hosts[0].async_drain()
        assert await run_cli(fleet, "status") == 1
        assert "this host: degraded: draining" in capsys.readouterr().out
        await fleet.hosts[0].async_stop()
        for command in ("status", "hosts", "workspaces", "config", "audit", "metrics"):
            assert await run_cli(fleet, command) == 3, command
        assert await run_cli(fleet, "explain", ROUTE) == 3
        assert "check that the address is right" in capsys.readouterr().err


async def test_new_revision_is_shown_with_its_time_and_difference(
    capsys: CapturedOutput,
) -> None:
    async with running_fleet() as fleet:
        fleet.tree["services"]["catalogue"]["settings"] = {"max_attempts": 2}
        await publish_tree(fleet)
        await run_cli(fleet, "config", "--json")
        config = json.loads(capsys.readouterr().out)
        assert [line["revision"] for line in config["recent"]] == [2, 1]
        assert config["recent"][0]["at"] >= config["recent"][1]["at"]
        assert config["since"] == config["recent"][0]["at"]
        assert await run_cli(fleet, "audit", "--limit", "1") == 0
        text = capsys.readouterr().out
        assert "configuration_accepted: revision 2 is in force, after 1" in text
        assert "services/catalogue: max_attempts 3 -> 2" in text


async def test_rejected_revision_is_shown_with_its_remedy(
    capsys: CapturedOutput,
) -> None:
    async with running_fleet() as fleet:
        fleet.tree["fleet"] = {"isolation_ms": 0}
        await fleet.publish()
        await wait_until(fleet, lambda c, now: c.configuration.snapshot(now).rejected)
        assert await run_cli(fleet, "config") == 0
        text = capsys.readouterr().out
        assert "REJECTED revision 2:" in text
        assert "isolation_ms" in text


async def test_a_workspace_whose_key_was_withdrawn_is_held_back(
    capsys: CapturedOutput,
) -> None:
    async with running_fleet() as fleet:
        fleet.tree["workspaces"]["studio"]["keys"] = []
        await publish_tree(fleet)
        await run_cli(fleet, "status")
        assert "studio: key: key k1 withdrawn" in capsys.readouterr().out
        await run_cli(fleet, "workspaces")
        assert "no key is published" in capsys.readouterr().out


async def test_latencies_of_two_hosts_are_merged(capsys: CapturedOutput) -> None:
    async with running_fleet(hosts=2) as fleet:
        served = 0
        for host in fleet.hosts:
            for _ in range(3):
                assert (await request(host.callers_address, "/suites")).status == 200
            # Requests are recorded after the response; the warm-up request counts too.
            snapshot = await host.async_query(lambda c, now: c.metrics.snapshot(now))
            while snapshot.requests.get(("catalogue", "passed"), 0) < 4:
                snapshot = await host.async_query(
                    lambda c, now: c.metrics.snapshot(now)
                )
            served += snapshot.requests[("catalogue", "passed")]
        other = str(fleet.hosts[1].operators_address)
        assert await run_cli(fleet, "metrics", "--json", "--operators", other) == 0
        answer = json.loads(capsys.readouterr().out)
        assert sorted(answer["hosts"]) == ["host-1", "host-2"]
        [service] = answer["services"]
        assert (service["name"], service["count"]) == ("catalogue", served)
        assert 0 < service["p50_ms"] <= service["p99_ms"] <= service["max_ms"]
