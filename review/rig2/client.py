"""Stand-in of clients: each request on a connection of its own, with a record of its end."""

import asyncio
import os
import time
from dataclasses import dataclass, field
from pathlib import Path

from review.rig2.http import Message, encode, read_message

HOST = "shop.example"
SLACK_S = 2.0


@dataclass(kw_only=True)
class Ask:
    """A request of a client and what came of it.

    Attributes:
        request_id: Its id.
        path: Its path.
        sent_at: Wall time at which it was sent.
        ended_at: Wall time at which its answer was whole or its connection ended.
        status: Status of the answer; 0 if there is none.
        signed: Whether the answer has an upstream's signature.
        body: Body of the answer.
        end: How it ended, in words.
    """

    request_id: str
    path: str
    sent_at: float = 0.0
    ended_at: float = 0.0
    status: int = 0
    signed: bool = False
    body: bytes = b""
    end: str = ""

    @property
    def is_served(self) -> bool:
        """Whether it got a whole success with the signature."""
        return 200 <= self.status < 300 and self.signed

    def take(self, answer: Message | None) -> None:
        """Note the answer."""
        if answer is None:
            self.end = "connection closed without an answer"
            return
        self.status = answer.status
        self.signed = "response-signature" in answer.headers
        self.body = answer.body
        self.end = f"{answer.status}{' signed' if self.signed else ''}"


@dataclass(kw_only=True)
class Client:
    """Sends requests and keeps a record of them.

    Attributes:
        deadline_ms: How long it waits for an answer.
        asks: All its requests.
    """

    deadline_ms: int = 3000
    asks: list[Ask] = field(default_factory=list)

    async def ask(
        self,
        front: tuple[str, int],
        path: str,
        *,
        method: str = "GET",
        body: bytes = b"",
        key: int | None = None,
    ) -> Ask:
        """Send a request on a new connection and wait for its answer."""
        ask = Ask(request_id=os.urandom(6).hex(), path=path)
        self.asks.append(ask)
        headers = {
            "Host": HOST,
            "Request-Id": ask.request_id,
            "Deadline-Ms": str(self.deadline_ms),
            "Connection": "close",
        }
        if key is not None:
            headers["Cookie"] = f"Affinity-Key={key}"
        writer = None
        try:
            async with asyncio.timeout(self.deadline_ms / 1000 + SLACK_S):
                reader, writer = await asyncio.open_connection(*front)
                ask.sent_at = time.time()
                writer.write(encode(f"{method} {path} HTTP/1.1", headers, body))
                ask.take(await read_message(reader, is_response=True))
        except TimeoutError:
            ask.end = "no answer in time"
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            ask.end = f"connection broken: {type(error).__name__}"
        finally:
            ask.ended_at = time.time()
            if writer is not None:
                writer.close()
        return ask


@dataclass(kw_only=True)
class Record:
    """Lines that a case writes to its record, and shows.

    Attributes:
        path: File of the record.
        began_at: Wall time of its begin.
    """

    path: Path
    began_at: float = field(default_factory=time.time)

    def __post_init__(self) -> None:
        """Begin a new record."""
        self.path.write_text("")

    def note(self, text: str, at: float | None = None) -> None:
        """Append a line with the seconds since the begin."""
        line = f"{(at or time.time()) - self.began_at:9.3f} s  {text}"
        with self.path.open("a") as file:
            file.write(line + "\n")

    def say(self, text: str) -> None:
        """Append a line, and print it."""
        self.note(text)
        print(text, flush=True)

    def asks(self, asks: list[Ask], ran_by: dict[str, list[str]]) -> None:
        """Append what was sent, answered and run."""
        for ask in sorted(asks, key=lambda each: each.sent_at):
            ran = ", ".join(ran_by.get(ask.request_id, [])) or "nowhere"
            took = ask.ended_at - ask.sent_at
            self.note(
                f"{ask.request_id} {ask.path}: {ask.end} after {took:.3f} s, run by {ran}",
                ask.sent_at,
            )
