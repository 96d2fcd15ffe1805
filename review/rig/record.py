"""What was sent, answered and run, as lines of a file."""

import contextlib
import time
from collections.abc import Iterator
from pathlib import Path
from typing import TextIO


class Record:
    """Writes lines with the seconds since the start.

    Attributes:
        started_at: Monotonic time of the start.
    """

    def __init__(self, file: TextIO) -> None:
        self.started_at = time.monotonic()
        self._file = file

    def write(self, what: str, **values: object) -> None:
        """Write one line."""
        words = " ".join(f"{name}={value}" for name, value in values.items())
        self._file.write(f"{time.monotonic() - self.started_at:8.3f} {what} {words}\n")

    def say(self, text: str) -> None:
        """Write a line of text, and print it."""
        self.write(text)
        print(f"{time.monotonic() - self.started_at:8.3f} {text}", flush=True)


@contextlib.contextmanager
def writing_record(path: Path) -> Iterator[Record]:
    """Write a record within the block."""
    with path.open("w") as file:
        yield Record(file)
