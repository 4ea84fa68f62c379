"""Test that the reference pages are up to date with the schema."""

from pathlib import Path

import pytest

from sesamespring.reference import PAGES

DOCS = Path(__file__).resolve().parents[2] / "docs"


@pytest.mark.parametrize("name", PAGES)
def test_page_matches_the_generated_text(name):
    assert (DOCS / name).read_text(encoding="utf-8") == PAGES[name]()
