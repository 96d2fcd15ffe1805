"""Refuses changes that move sites or backend servers between failure domains.

Only the entry VMs of one failure domain hand out a server's slots, and entry
VMs of different domains do not wait for each other. A server that changes its
domain in one step would for a time be used by both.
"""

from collections.abc import Iterator

from knapweeddock.changes import Document
from knapweeddock.codes import ResultCode
from knapweeddock.folder import Folder
from knapweeddock.problems import Problem, raise_problems

ALLOWED = "the same failure domain; remove it with one change, and add it with a later one"


def check_moves(before: Document, folder: Folder) -> None:
    """Compare the domains of sites and servers with those in force.

    Args:
        before: The document that the platform holds.
        folder: The checked folder that replaces it.

    Raises:
        ExceptionGroup: Sites or servers that would move.
    """
    domains = {address: domain for _, _, address, domain in _servers(before)}
    problems = [
        _problem(folder, ("sites", site, "servers", server, "address"), domains[address], domain)
        for site, server, address, domain in _servers(folder.document)
        if domains.get(address, domain) != domain
    ]
    for site, entry in folder.document.get("sites", {}).items():
        old = before.get("sites", {}).get(site, entry)["failure_domain"]
        if old != entry["failure_domain"]:
            path = ("sites", site, "failure_domain")
            problems.append(_problem(folder, path, old, entry["failure_domain"]))
    if problems:
        raise_problems(problems)


def _servers(document: Document) -> Iterator[tuple[str, str, str, str]]:
    """Yield site, server, address and failure domain of each backend server."""
    for site, entry in document.get("sites", {}).items():
        for server, content in entry["servers"].items():
            yield site, server, content["address"], entry["failure_domain"]


def _problem(folder: Folder, path: tuple[str, ...], old: str, new: str) -> Problem:
    return Problem(
        code=ResultCode.OUT_OF_RANGE,
        file=folder.origins.get(path, ""),
        path=path,
        found=f"a move from {old} to {new}",
        allowed=ALLOWED,
    )
