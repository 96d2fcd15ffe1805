"""Days of troubles in pairs: one that is missing would leave a pair unplayed."""

import itertools
import random
import tomllib

from bench.pair_days import DAYS, PAGE, SEED, cover_all, day_text, read_troubles, write


def test_every_two_troubles_meet_in_a_group():
    troubles = read_troubles()
    days = cover_all(troubles, random.Random(SEED)).values()
    met = {
        pair
        for day in days
        for group in day
        for pair in itertools.combinations(sorted(each.name for each in group.troubles), 2)
    }
    assert met >= set(itertools.combinations(sorted(each.name for each in troubles), 2))


def test_days_of_all_deployments_have_no_trouble_of_grown_ones():
    """Such a day would be left out on the others."""
    days = cover_all(read_troubles(), random.Random(SEED))
    for name, groups in days.items():
        grown = any(trouble.grown for group in groups for trouble in group.troubles)
        assert grown == name.startswith("pairs-grown"), name


def test_troubles_have_different_names():
    names = [trouble.name for trouble in read_troubles()]
    assert len(set(names)) == len(names)


def test_entries_keep_their_section_and_fields():
    troubles = read_troubles()
    rng = random.Random(SEED)
    day = cover_all(troubles, rng)["pairs-01"]
    document = tomllib.loads(day_text("a", day, rng))
    drawn = [trouble for group in day for trouble in group.troubles]
    for section, planned in (("plan", True), ("faults", False)):
        entries = [dict(entry) for entry in document[section]]
        times = [entry.pop("at") for entry in entries]
        assert times == sorted(times)
        for trouble in drawn:
            assert (trouble.entry in entries) or trouble.planned is not planned


def test_written_days_are_those_of_the_repository(tmp_path):
    """Days that were edited by hand would not match their table."""
    count = write(tmp_path, tmp_path / "page.md")
    written = {path.name: path.read_text() for path in tmp_path.glob("pairs-*.toml")}
    assert len(written) == count
    assert written == {path.name: path.read_text() for path in DAYS.glob("pairs-*.toml")}
    assert (tmp_path / "page.md").read_text() == PAGE.read_text()
