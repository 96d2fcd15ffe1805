import json

from bench.journal_report import plot, read_scores


def entry(identifier: str, **changes) -> str:
    day = {"name": "quiet-1", "G": 0.5, "served": 0.8, "prices": [["machine-seconds", 1.0, 0.1]]}
    values = {"id": identifier, "cmd": "score", "at": [identifier], "site": "a", "ok": True}
    return json.dumps({**values, "days": [day], **changes})


def test_finished_scores_are_plotted(tmp_path):
    (tmp_path / "1.json").write_text(entry("first"))
    (tmp_path / "2.json").write_text(entry("second"))
    (tmp_path / "3.json").write_text(entry("hunted", cmd="hunt"))
    (tmp_path / "4.json").write_text(entry("broken", ok=False, site=None, days=[]))
    sites = read_scores(tmp_path)
    assert [version.label for version in sites["a"]] == ["first", "second"]
    assert plot("a", sites["a"], tmp_path).stat().st_size > 0
