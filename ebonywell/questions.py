"""Questions to other hosts whose answers may be lost."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

import anyio

# Bits of the first question's number; messages bear numbers of 64 bits.
NUMBER_BITS = 48
_Reply = TypeVar('_Reply')


@dataclass(slots=True, eq=False)
class PendingQuestion(Generic[_Reply]):
    """A question that waits for its answer."""

    answered: anyio.Event = field(default_factory=anyio.Event)
    reply: _Reply | None = None


@dataclass(slots=True)
class Questions(Generic[_Reply]):
    """Questions of one kind that this host has asked.

    Attributes
    ----------
    pending : dict of int to PendingQuestion
        Keyed by number.
    number : int
        Number of the last question. The first one is random, so that a late
        answer to a question of this host's earlier life answers no new one.
    """

    pending: dict[int, PendingQuestion[_Reply]] = field(default_factory=dict)
    number: int = field(default_factory=lambda: random.getrandbits(NUMBER_BITS))

    async def ask(
        self, send: Callable[[int], None], timeout_s: float
    ) -> _Reply | None:
        """Ask a question, and return the first answer or None.

        Parameters
        ----------
        send : callable
            Sends the question; takes its number.
        timeout_s : float
        """
        self.number += 1
        number = self.number
        question: PendingQuestion[_Reply] = PendingQuestion()
        self.pending[number] = question
        send(number)
        try:
            with anyio.move_on_after(timeout_s):
                await question.answered.wait()
        finally:
            self.pending.pop(number)
        return question.reply

    def answer(self, number: int, reply: _Reply) -> None:
        """Pass on an answer; one that comes too late is dropped."""
        question = self.pending.get(number)
        if question is not None:
            question.reply = reply
            question.answered.set()
