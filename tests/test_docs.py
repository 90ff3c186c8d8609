"""Guards the documentation against references to files and tests that do not exist."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PAGES = sorted([ROOT / "README.md", *(ROOT / "docs").rglob("*.md")])


def test_promises_name_existing_tests() -> None:
    text = (ROOT / "docs" / "promises.md").read_text()
    references = re.findall(r"`(tests/[\w/]+\.py)((?:::\w+)?)`(?:, `(::\w+)`)*", text)
    assert len(references) >= 11
    path = ""
    for match in re.finditer(r"`(tests/[\w/]+\.py)?(?:::(\w+))?`", text):
        path = match[1] or path
        if not match[1] and not match[2]:
            continue
        content = (ROOT / path).read_text()
        assert match[2] is None or f"def {match[2]}(" in content, match[0]


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_links_lead_to_pages(page: Path) -> None:
    for target in re.findall(r"\]\(([^)#]+)\)", page.read_text()):
        if "://" not in target:
            assert (page.parent / target).exists(), target
