from pathlib import Path

import pytest

from knapweeddock.settings import (
    AgentSettings,
    EntrySettings,
    LookupSettings,
    SettingsError,
    load_settings,
    parse_settings,
)

FILE = Path("entry.json")
GOOD = """
// entry of the first VM
{
  "vm": "vm1", "failure_domain": "d1",
  "listen": {"host": "127.0.0.1", "public": 0, /* chosen */ "internal": 8081},
  "agent": "127.0.0.1:9000",
}
"""


def parse(text, kind=EntrySettings):
    return parse_settings(text.encode(), kind, file=FILE)


def test_comments_and_defaults_are_accepted():
    """Guards against refusing what operators write by habit."""
    settings = parse(GOOD)
    assert settings.listen.public == 0
    assert settings.listen.internal == 8081
    assert settings.limits.body_limit == 1024 * 1024


def test_agent_and_lookup_settings_are_decoded():
    """Guards against field names that differ from the design page."""
    common = "vm: 'v', failure_domain: 'd', listen: {host: '::1'}, "
    agent = parse("{" + common + "platform_url: 'http://p', seeds: ['a:1']}", AgentSettings)
    lookup = parse("{" + common + "agents: ['a:1', 'b:2']}", LookupSettings)
    assert agent.seeds == ["a:1"]
    assert lookup.agents == ["a:1", "b:2"]


@pytest.mark.parametrize(
    ("old", "new", "code", "path", "words"),
    [
        ('"vm": "vm1"', '"vm": "a", "vm": "b"', 302, "$.vm", "second time"),
        ('"public": 0', '"public": 0, "public": 1', 302, "$.listen.public", "once"),
        ('"vm": "vm1"', '"vm": "a", "colour": 1', 303, "$.colour", "failure_domain"),
        ('"public": 0', '"pubic": 0', 303, "$.listen.pubic", "metrics"),
        ('"public": 0', '"public": "x"', 304, "$.listen.public", "found str; allowed: int"),
        ('"public": 0', '"public": 70000', 305, "$.listen.public", "found 70000"),
        ('"agent": "127.0.0.1:9000"', '"agent": "here"', 305, "$.agent", "found 'here'"),
        ('"vm": "vm1",', "", 311, "$.vm", "required"),
        ("{", "[{", 301, "$", "syntax"),
    ],
)
def test_problem_names_file_path_found_allowed_and_code(old, new, code, path, words):
    """Guards against an error that does not tell the operator what to correct."""
    with pytest.raises(SettingsError) as caught:
        parse(GOOD.replace(old, new, 1))
    assert (caught.value.code, caught.value.path) == (code, path)
    assert words in str(caught.value)
    assert str(caught.value).startswith(f"entry.json: {path}: found ")


def test_unreadable_and_oversized_files_are_numbered(tmp_path):
    """Guards against a traceback, and against parsing a huge file for minutes."""
    with pytest.raises(SettingsError) as caught:
        load_settings(tmp_path / "absent.json", EntrySettings)
    assert caught.value.code == 312
    large = tmp_path / "large.json"
    large.write_bytes(b" " * (64 * 1024 + 1))
    with pytest.raises(SettingsError) as caught:
        load_settings(large, EntrySettings)
    assert caught.value.code == 308


def test_non_utf8_and_deep_nesting_are_syntax_errors():
    """Guards against an exception of another kind from the parser."""
    for content in (b"\xff{}", b"[" * 5000):
        with pytest.raises(SettingsError) as caught:
            parse_settings(content, EntrySettings, file=FILE)
        assert caught.value.code == 301
