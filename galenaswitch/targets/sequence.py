"""Token sequence: streamed tokens in order and without duplicates.

Each token carries its index in the answer. Duplicate tokens are dropped, and
a token that arrives early waits until all tokens before it have arrived.
"""

from collections.abc import Iterable
from hashlib import sha256

from galenaswitch.errors import TargetBrokenError
from galenaswitch.targets.messages import Token

# Most early tokens that may wait for a missing token.
MAX_AHEAD_TOKENS = 1024


class TokenSequence:
    """Orders the tokens of one answer.

    :ivar count: number of tokens that were returned in order.
    """

    def __init__(self) -> None:
        """Build the sequence of an answer, whose first token has index 0."""
        self.count = 0
        self._duplicates = 0
        self._ahead: dict[int, str] = {}
        self._digest = sha256()

    def accept(self, tokens: Iterable[Token]) -> list[Token]:
        """Add tokens in any order and return those that are next in order.

        :raises TargetBrokenError: when too many tokens wait for a missing
            token.

        >>> sequence = TokenSequence()
        >>> sequence.accept([Token(1, 'b')])
        []
        >>> sequence.accept([Token(0, 'a'), Token(0, 'a')])
        [Token(number=0, text='a'), Token(number=1, text='b')]
        """
        for token in tokens:
            if token.number < self.count or token.number in self._ahead:
                self._duplicates += 1
                continue
            self._ahead[token.number] = token.text
        if len(self._ahead) > MAX_AHEAD_TOKENS:
            raise TargetBrokenError('too many tokens wait for a missing token')
        return self._pop_ordered()

    def pop_duplicate_count(self) -> int:
        """Return the number of duplicates since the last call and reset it.

        >>> sequence = TokenSequence()
        >>> _ = sequence.accept([Token(0, 'a'), Token(0, 'a')])
        >>> sequence.pop_duplicate_count(), sequence.pop_duplicate_count()
        (1, 0)
        """
        duplicates = self._duplicates
        self._duplicates = 0
        return duplicates

    def digest(self) -> str:
        """Return the SHA-256 of the text returned so far, in hex."""
        return self._digest.hexdigest()

    def is_complete(self, count: int) -> bool:
        """Tell whether exactly ``count`` tokens have arrived, without a gap."""
        return self.count == count and not self._ahead

    def _pop_ordered(self) -> list[Token]:
        ordered = []
        while self.count in self._ahead:
            text = self._ahead.pop(self.count)
            self._digest.update(text.encode())
            ordered.append(Token(self.count, text))
            self.count += 1
        return ordered
