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


def codes():
    found = [reason.value for reason in Reason]
    classes = [c for c in vars(errors).values() if isinstance(c, type)]
    return found + sorted({c.code for c in classes if issubclass(c, errors.DunlinnotchError)})


@pytest.mark.parametrize("code", codes())
def test_every_code_has_its_remedy_in_the_operators_page(code):
    assert f"| `{code}` |" in (DOCS / "OPERATIONS.md").read_text(encoding="utf-8")


@pytest.mark.parametrize("status", list(Exit))
def test_every_exit_status_is_explained(status):
    assert f"| {status.value} |" in (DOCS / "OPERATIONS.md").read_text(encoding="utf-8")


def test_example_for_embedding_runs():
    text = (DOCS / "EMBEDDING.md").read_text(encoding="utf-8")
    blocks = re.findall(r"```python\n(.*?)```", text, re.DOTALL)
    assert blocks
    names = {}
    for block in blocks:
        exec(compile(block, "EMBEDDING.md", "exec"), names)
    assert names["result"].status == "accepted"


def test_pages_hold_no_link_to_a_file_that_is_not_there():
    for page in [*DOCS.glob("**/*.md"), Path(DOCS.parent / "README.md")]:
        for link in re.findall(r"\]\(([^)#:]+\.md)\)", page.read_text(encoding="utf-8")):
            assert (page.parent / link).exists(), f"{page.name}: {link}"
