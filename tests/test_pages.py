"""Generated pages are current, and pages name only codes, files and examples that work."""

import re
from pathlib import Path

import pytest

from dunlinnotch import errors
from dunlinnotch.cli.common import Exit
from dunlinnotch.protocol.outcome import Reason
from tools.pages import DOCS, PAGES


@pytest.mark.parametrize("name", PAGES)
def test_generated_page_is_current(name):
    assert (DOCS / name).read_text(encoding="utf-8") == PAGES[name]()


def list_codes():
    reasons = [reason.value for reason in Reason]
    classes = [c for c in vars(errors).values() if isinstance(c, type)]
    return reasons + sorted({c.code for c in classes if issubclass(c, errors.DunlinnotchError)})


@pytest.mark.parametrize("code", list_codes())
def test_every_code_is_listed_in_the_operations_page(code):
    assert f"| `{code}` |" in (DOCS / "OPERATIONS.md").read_text(encoding="utf-8")


@pytest.mark.parametrize("status", list(Exit))
def test_every_exit_status_is_explained(status):
    assert f"| {status.value} |" in (DOCS / "OPERATIONS.md").read_text(encoding="utf-8")


def test_the_embedding_example_runs():
    text = (DOCS / "EMBEDDING.md").read_text(encoding="utf-8")
    blocks = re.findall(r"```python\n(.*?)```", text, re.DOTALL)
    assert blocks
    namespace = {}
    for block in blocks:
        exec(compile(block, "EMBEDDING.md", "exec"), namespace)
    assert namespace["result"].status == "accepted"


def test_pages_link_only_to_existing_files():
    for page in [*DOCS.glob("**/*.md"), Path(DOCS.parent / "README.md")]:
        for link in re.findall(r"\]\(([^)#:]+\.md)\)", page.read_text(encoding="utf-8")):
            assert (page.parent / link).exists(), f"{page.name}: {link}"
