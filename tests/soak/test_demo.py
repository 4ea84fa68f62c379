"""Test that the demo keeps the promises that it shows."""

import asyncio

from soak.demo import run_demo


def test_demo_breaks_no_promise(tmp_path, capsys):
    assert asyncio.run(run_demo(tmp_path)) == []
    assert "requests=" in capsys.readouterr().out
