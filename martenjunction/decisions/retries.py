"""How often a request may be sent again."""


class RetryBudget:
    """Retries as a part of successes, so that they cannot feed a collapse."""

    def __init__(self, ratio: float = 0.2, reserve: float = 50.0) -> None:
        """Makes a budget.

        Args:
            ratio: Retries earned by one success.
            reserve: Retries that may be saved up; also the budget at start.
        """
        self._ratio = ratio
        self._reserve = reserve
        self._balance = reserve
        self._refused = 0

    @property
    def refused(self) -> int:
        """Retries that were asked for and not granted."""
        return self._refused

    def success(self) -> None:
        """Books a whole answer."""
        self._balance = min(self._reserve, self._balance + self._ratio)

    def take(self) -> bool:
        """Takes one retry out; returns whether there was one."""
        if self._balance < 1.0:
            self._refused += 1
            return False
        self._balance -= 1.0
        return True


def pause_before(attempt: int, jitter: float) -> float:
    """Returns seconds to wait before an attempt.

    Args:
        attempt: 1 for the first retry.
        jitter: A random number between 0 and 1.
    """
    return min(FIRST_PAUSE * 2.0 ** (attempt - 1), LONGEST_PAUSE) * jitter


FIRST_PAUSE = 0.05
LONGEST_PAUSE = 1.0

# Attempts in a row that bring a request no further, the first one included.
MAX_ATTEMPTS = 3
