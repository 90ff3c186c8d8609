"""Guards the examples against settings that `check` rejects or that differ from the
design page, and against an embedding program that fails or exceeds the rate.
"""

import runpy
from pathlib import Path

import pytest
from attrs import frozen

from catkinspan.daemon.cli import main
from catkinspan.protocol.settings.tree import check_tree

EXAMPLES = Path(__file__).parents[2] / "examples"


@frozen
class Deployment:
    """Sizes of a deployment as the design page gives them."""

    servers: dict[str, int]
    slots: int
    connections: int


DEPLOYMENTS = {
    "valtellina": Deployment({"accettazione": 25, "laboratorio": 6}, 3, 350),
    "paperbark": Deployment({"catalogue": 20, "print-desk": 6}, 2, 330),
}


def test_check_accepts_all(capsys: pytest.CaptureFixture[str]) -> None:
    files = sorted(map(str, EXAMPLES.glob("*.json")))
    assert len(files) == 3
    assert main(["check", *files]) == 0
    assert capsys.readouterr().out.count("accepted") == 3


@pytest.mark.parametrize("name", DEPLOYMENTS)
def test_trees_match_the_design_page(name: str) -> None:
    expected = DEPLOYMENTS[name]
    tree = check_tree((EXAMPLES / f"{name}.json").read_text()).unwrap()
    assert {n: len(s.upstreams) for n, s in tree.services.items()} == expected.servers
    for service in tree.services.values():
        assert {u.slots for u in service.upstreams} == {expected.slots}
        assert {u.max_connections for u in service.upstreams} == {expected.connections}
        assert len({u.data_centre for u in service.upstreams}) == 3
    assert len(tree.workspaces) == 8


def test_the_embedding_program_runs(capsys: pytest.CaptureFixture[str]) -> None:
    runpy.run_path(str(EXAMPLES / "embedding.py"), run_name="__main__")
    words = capsys.readouterr().out.split()
    admitted = int(words[words.index("admitted") + 1].rstrip(";"))
    allowed = int(words[-1])
    assert 0 < admitted <= allowed
