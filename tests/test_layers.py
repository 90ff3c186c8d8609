"""Guards against imports of a higher layer by a lower one, and of I/O modules by the
layers that make decisions.
"""

import ast
from pathlib import Path

import pytest

SOURCE = Path(__file__).parent.parent / "src" / "catkinspan"

ALLOWED_IMPORTS = {
    "state": {"state"},
    "coordination": {"coordination", "state"},
    "protocol": {"protocol", "coordination", "state"},
    "transport": {"transport", "protocol", "coordination", "state"},
    "platform": {"platform", "transport", "protocol", "coordination", "state"},
    "testing": {"testing", "coordination", "state"},
    "standin": {
        "standin",
        "platform",
        "transport",
        "protocol",
        "coordination",
        "state",
    },
}

FORBIDDEN_IN_DECISION_LAYERS = {
    "asyncio",
    "cattrs",
    "grpclib",
    "h11",
    "json",
    "orjson",
    "socket",
    "ssl",
    "time",
}


def imported_modules(path: Path) -> set[str]:
    modules: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            modules.update(alias.name for alias in node.names)
        if isinstance(node, ast.ImportFrom) and node.module:
            modules.add(node.module)
    return modules


@pytest.mark.parametrize("layer", sorted(ALLOWED_IMPORTS))
def test_imports_point_down(layer: str) -> None:
    violations = []
    for path in sorted((SOURCE / layer).rglob("*.py")):
        for module in imported_modules(path):
            parts = module.split(".")
            if parts[0] != "catkinspan" or len(parts) < 2:
                continue
            if parts[1] not in ALLOWED_IMPORTS[layer]:
                violations.append(f"{path.relative_to(SOURCE)} imports {module}")
    assert not violations


@pytest.mark.parametrize("layer", ["state", "coordination"])
def test_decisions_do_no_io(layer: str) -> None:
    violations = []
    for path in sorted((SOURCE / layer).rglob("*.py")):
        roots = {module.split(".")[0] for module in imported_modules(path)}
        if forbidden := roots & FORBIDDEN_IN_DECISION_LAYERS:
            violations.append(f"{path.relative_to(SOURCE)} imports {sorted(forbidden)}")
    assert not violations
