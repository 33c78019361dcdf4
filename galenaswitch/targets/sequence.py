"""Putting streamed tokens in order.

Tokens carry their index. Doubles are dropped, tokens ahead of their turn
wait, so that what leaves is the answer in order, each token once.
"""

from collections.abc import Iterable
from hashlib import sha256

from galenaswitch.errors import TargetBrokenError
from galenaswitch.targets.messages import Token

MAX_AHEAD = 1024


class TokenSequence:
    """The part of an answer that is in order, and what waits ahead of it."""

    def __init__(self) -> None:
        """Start at index 0."""
        self.count = 0
        self._doubled = 0
        self._ahead: dict[int, str] = {}
        self._digest = sha256()

    def accept(self, tokens: Iterable[Token]) -> list[Token]:
        """Take tokens in any order; return those whose turn has come.

        :raises TargetBrokenError: when too many tokens wait for a gap.

        >>> sequence = TokenSequence()
        >>> sequence.accept([Token(1, 'b')])
        []
        >>> sequence.accept([Token(0, 'a'), Token(0, 'a')])
        [Token(number=0, text='a'), Token(number=1, text='b')]
        """
        for token in tokens:
            if token.number < self.count or token.number in self._ahead:
                self._doubled += 1
                continue
            self._ahead[token.number] = token.text
        if len(self._ahead) > MAX_AHEAD:
            raise TargetBrokenError('too many tokens out of order')
        return self._release()

    def pop_duplicate_count(self) -> int:
        """Return the doubled tokens that were dropped since the last call.

        >>> sequence = TokenSequence()
        >>> _ = sequence.accept([Token(0, 'a'), Token(0, 'a')])
        >>> sequence.pop_duplicate_count(), sequence.pop_duplicate_count()
        (1, 0)
        """
        doubled = self._doubled
        self._doubled = 0
        return doubled

    def digest(self) -> str:
        """Return the SHA-256 of the text so far, in hex."""
        return self._digest.hexdigest()

    def is_complete(self, count: int) -> bool:
        """Tell whether exactly ``count`` tokens have left."""
        return self.count == count and not self._ahead

    def _release(self) -> list[Token]:
        ready = []
        while self.count in self._ahead:
            text = self._ahead.pop(self.count)
            self._digest.update(text.encode())
            ready.append(Token(self.count, text))
            self.count += 1
        return ready
