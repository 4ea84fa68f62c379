"""Test that all mistakes in a settings file are reported at once."""

from hypothesis import given, strategies
from returns.result import Failure, Success

from sesamespring.settings.loader import load_settings, parse_settings

GOOD = """
[entry]
name = a
data_centre = x
callers_address = 127.0.0.1:1
peers_address = 127.0.0.1:2
metrics_address = 127.0.0.1:3
[platform]
address = 127.0.0.1:4
[peers]
key = k
[operators]
key = o
"""


def test_reads_good_settings_with_defaults():
    result = parse_settings("entry.ini", GOOD)
    assert isinstance(result, Success)
    assert result.unwrap().platform_timeout_ms == 500


def test_reports_every_mistake_with_section_and_key():
    bad = GOOD.replace("127.0.0.1:1\n", "nowhere\n").replace("key = k", "kye = k")
    result = parse_settings("entry.ini", bad + "[extra]\n")
    assert isinstance(result, Failure)
    lines = [str(problem) for problem in result.failure()]
    assert len(lines) == 4
    assert (
        "entry.ini: [entry] callers_address: found 'nowhere'; expected IP:PORT" in lines
    )


def test_reports_a_missing_file(tmp_path):
    assert isinstance(load_settings(tmp_path / "none.ini"), Failure)


words = strategies.sampled_from(
    ["[entry]", "[peers]", "key = ,", "key = a:", "address = ::1:0", "name", "[", "= x"]
)


@given(strategies.lists(words | strategies.text()).map("\n".join))
def test_any_text_gives_problems_with_file_and_expectation(content):
    for text in (content, GOOD + content):
        result = parse_settings("entry.ini", text)
        if isinstance(result, Failure):
            assert result.failure()
            for problem in result.failure():
                assert problem.file == "entry.ini"
                assert problem.found and problem.expected


def test_operator_keys_have_optional_names_and_distinct_secrets():
    content = GOOD.replace("key = o", "key = ana:x, y")
    ana, shared = parse_settings("entry.ini", content).unwrap().operators_key
    assert (ana.name, ana.secret) == ("ana", "x")
    assert (shared.name, shared.secret) == ("", "y")
    duplicate = GOOD.replace("key = o", "key = ana:x, ben:x")
    assert isinstance(parse_settings("entry.ini", duplicate), Failure)


def test_unusable_certificates_are_reported():
    for lines in ("certificate = x\n", "certificate = x\nprivate_key = y\n"):
        (problem,) = parse_settings("e.ini", GOOD + "[tls]\n" + lines).failure()
        assert problem.section == "tls"
