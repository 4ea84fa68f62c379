"""Test that parsing reports all mistakes of a resource file at once."""

from hypothesis import given, strategies
from returns.result import Failure, Success

from sesamespring.resources import parse_resources

WORDS = (
    "[service a]",
    "[target t]",
    "[remove target t]",
    "[remove]",
    "[data-centre ",
    "[]",
    "service = a",
    "address = 127.0.0.1:80",
    "slots = 99999999999999999999999999999999999999999",
    "slots",
    "= 1",
    "  more",
    "state: out",
    "\x00%(x)s",
)
files = strategies.lists(strategies.sampled_from(WORDS) | strategies.text()).map(
    "\n".join
)


@given(files | strategies.text())
def test_any_text_gives_resources_or_problems_with_file_and_expectation(content):
    result = parse_resources("r.ini", content)
    if isinstance(result, Failure):
        assert result.failure()
        for problem in result.failure():
            assert problem.file == "r.ini" and problem.found and problem.expected
    else:
        assert isinstance(result, Success) and result.unwrap()


def test_reports_every_mistake_with_section_and_key():
    content = """
[service a]
deadline_ms = soon
deadline_ms = 5
[data-centre x y]
[target t]
service = a
address = nowhere
colour = red
[remove target t]
[tarjet u]
"""
    lines = [str(p) for p in parse_resources("r.ini", content).failure()]
    expected = (
        "[service a] deadline_ms: found given twice",
        "[service a] deadline_ms: found '5'",
        "[data-centre x y] -: found 'x y'",
        "[target t] colour: found unknown key",
        "[target t] data_centre: found nothing",
        "[target t] address: found 'nowhere'",
        "[tarjet u] -: found unknown kind",
    )
    assert len(lines) == len(expected)
    for text in expected:
        assert any(f"r.ini: {text}" in line for line in lines)
    both = "[service a]\n[remove service a]\n"
    (problem,) = parse_resources("r.ini", both).failure()
    assert problem.expected == "each resource once"
