"""Run the examples of docs/EMBEDDING.md as doctests."""

import doctest
import pathlib

PAGE = pathlib.Path(__file__).parents[2] / "docs" / "EMBEDDING.md"


def test_the_examples_of_the_page_run():
    results = doctest.testfile(str(PAGE), module_relative=False)
    assert results.attempted > 20
    assert results.failed == 0
