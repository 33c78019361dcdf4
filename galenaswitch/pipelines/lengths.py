"""Estimates the lengths of generated answers.

Callers give a maximum number of tokens, but models often stop earlier. The
lengths of recent complete answers of a workspace's pipeline predict the length
of its next answer.
"""

SMOOTHING = 0.2


class AnswerLengths:
    """Moving averages of the lengths of complete answers, in tokens.

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
        """Build an estimator without observed answers."""
        self._averages: dict[tuple[str, str], float] = {}

    def observe(self, workspace: str, pipeline: str, tokens: int) -> None:
        """Add the length of a complete answer to the average."""
        key = (workspace, pipeline)
        average = self._averages.get(key, tokens)
        self._averages[key] = average + SMOOTHING * (tokens - average)

    def estimate(self, workspace: str, pipeline: str, max_tokens: int) -> float:
        """Return the expected length of an answer, 0 while unknown.

        :param max_tokens: most tokens that the caller allows.
        """
        return min(max_tokens, self._averages.get((workspace, pipeline), 0))
