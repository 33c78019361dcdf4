"""How long generated answers turn out to be.

Callers ask for at most so many tokens; models often stop before. What the
whole answers of a workspace's pipeline had of late tells how long the next
one will take.
"""

SMOOTHING = 0.2


class AnswerLengths:
    """Moving averages of the tokens of whole answers.

    >>> lengths = AnswerLengths()
    >>> lengths.estimate('lab', 'summary', 64)
    0
    >>> lengths.observe('lab', 'summary', 20)
    >>> lengths.estimate('lab', 'summary', 64)
    20.0
    >>> lengths.estimate('lab', 'summary', 5)
    5
    """

    def __init__(self) -> None:
        """Start knowing nothing."""
        self._averages: dict[tuple[str, str], float] = {}

    def observe(self, workspace: str, pipeline: str, tokens: int) -> None:
        """Take the tokens of a whole answer into the average."""
        key = (workspace, pipeline)
        average = self._averages.get(key, tokens)
        self._averages[key] = average + SMOOTHING * (tokens - average)

    def estimate(self, workspace: str, pipeline: str, max_tokens: int) -> float:
        """Return the tokens to expect of an answer, 0 while unknown.

        :param max_tokens: tokens that the caller allows.
        """
        return min(max_tokens, self._averages.get((workspace, pipeline), 0))
