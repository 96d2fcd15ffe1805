"""The interpreter cannot compile, since a connection is collected meanwhile.

Run as ``python3 -W ignore review/found/collection.py``; exits with 1 if so.

A test leaves a connection of a loop that is closed. The collector ends it while a syntax tree is
built; its finalizer fails, and the traceback of that is formatted, which parses a line itself.
"""

import ast
import asyncio
import gc
import sys
import traceback
from types import SimpleNamespace

RUNS = 100
SOURCE = "\n".join(f"def f{number}(a, b):\n    return (a + b) * {number}" for number in range(200))


def leave_connection() -> None:
    """Make a connection that only the collector can end, after its loop was closed."""
    loop = asyncio.new_event_loop()

    async def connect() -> asyncio.StreamWriter:
        server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
        _, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
        server.close()
        return writer

    box = SimpleNamespace(writer=loop.run_until_complete(connect()))
    box.itself = box
    loop.close()


def format_traceback(unraisable: "sys.UnraisableHookArgs") -> None:
    """Do what a test runner does with an exception of a finalizer."""
    traceback.format_exception(unraisable.exc_type, unraisable.exc_value, unraisable.exc_traceback)


def failures(*, is_formatted: bool) -> int:
    """Return how often the source cannot be parsed, of ``RUNS`` times."""
    sys.unraisablehook = format_traceback if is_formatted else lambda unraisable: None
    count = 0
    for _ in range(RUNS):
        gc.collect()
        gc.disable()
        leave_connection()
        gc.set_threshold(300, 1, 1)
        gc.enable()
        try:
            ast.parse(SOURCE)
        except SystemError as error:
            count += 1
            print(error, file=sys.stderr)
    return count


def main() -> int:
    """Compare a finalizer whose traceback is formatted with one whose traceback is not."""
    without = failures(is_formatted=False)
    with_traceback = failures(is_formatted=True)
    print(f"{with_traceback} of {RUNS} failed, without the traceback {without}")
    return int(with_traceback > 0)


if __name__ == "__main__":
    sys.exit(main())
