"""Generates the page of result codes.

Run ``python -m knapweeddock.codesdoc > docs/result-codes.md`` after a change of ``codes``.
"""

from collections.abc import Iterator

from knapweeddock.codes import CODE_INFO, ResultCode, exit_status

GROUPS = {
    0: "Success",
    1: "Requests that were not run",
    2: "Requests whose outcome is unknown",
    3: "Configuration and settings",
    4: "Platform",
    5: "Messages between processes",
}

INTRODUCTION = """\
# Result codes

Every answer, log line and command of the system carries one of these numbers.
The page is generated from `knapweeddock/codes.py`; do not edit it.

- Entries send the number in the header `Knapweed-Result` and the outcome in
  `Knapweed-Outcome`.
- `complete` means that the work was done and the whole answer delivered,
  `not-run` that the work did not happen, and `unknown` that it may have
  happened.
- The exit status of a command is the group of the code, its hundreds digit.\
"""


def page_lines() -> Iterator[str]:
    """Yield the lines of the page."""
    yield INTRODUCTION
    for group, title in GROUPS.items():
        codes = [code for code in ResultCode if exit_status(code) == group]
        yield ""
        yield f"## {title} (exit status {group})"
        yield ""
        yield "| code | name | HTTP status | outcome | meaning |"
        yield "|---|---|---|---|---|"
        for code in codes:
            info = CODE_INFO[code]
            yield (
                f"| {int(code)} | {code.name} | {info.http_status} | {info.outcome.value}"
                f" | {info.meaning} |"
            )


def page() -> str:
    """Return the page."""
    return "\n".join(page_lines()) + "\n"


if __name__ == "__main__":
    print(page(), end="")
