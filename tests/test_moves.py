"""Moves between failure domains: guards against a server whose slots two domains hand out."""

import pytest

from knapweeddock.codes import ResultCode
from knapweeddock.folder import read_folder
from knapweeddock.moves import check_moves
from tests.documents import DOCUMENT, document, write_folder


def moved_paths(tmp_path, before, after):
    folder = read_folder(write_folder(tmp_path / "config", after))
    with pytest.raises(ExceptionGroup) as caught:
        check_moves(before, folder)
    assert {problem.code for problem in caught.value.exceptions} == {ResultCode.OUT_OF_RANGE}
    return {problem.path for problem in caught.value.exceptions}


def site_names():
    return sorted(DOCUMENT["sites"])


def test_site_that_changes_its_domain_is_refused(tmp_path):
    site = site_names()[0]
    after = document()
    after["sites"][site]["failure_domain"] = "elsewhere"
    paths = moved_paths(tmp_path, DOCUMENT, after)
    assert ("sites", site, "failure_domain") in paths


def test_server_that_changes_its_domain_under_a_new_id_is_refused(tmp_path):
    """The address is what two domains would both send to."""
    first, second = site_names()
    before = document()
    before["sites"][second]["failure_domain"] = "elsewhere"
    after = document()
    after["sites"][second]["failure_domain"] = "elsewhere"
    server = sorted(after["sites"][first]["servers"])[0]
    after["sites"][second]["servers"]["renamed"] = after["sites"][first]["servers"].pop(server)
    paths = moved_paths(tmp_path, before, after)
    assert paths == {("sites", second, "servers", "renamed", "address")}


def test_other_changes_are_allowed(tmp_path):
    after = document()
    del after["sites"][site_names()[0]]
    assert check_moves(DOCUMENT, read_folder(write_folder(tmp_path / "config", after))) is None
