"""Retry budget and back-off."""


class RetryBudget:
    """Limits retries to a fraction of successes to prevent retry storms."""

    def __init__(self, ratio: float = 0.2, reserve: float = 50.0) -> None:
        """Initializes the budget.

        Args:
            ratio: Retries earned per success.
            reserve: Maximum and initial balance, in retries.
        """
        self._ratio = ratio
        self._reserve = reserve
        self._balance = reserve
        self._refused = 0

    @property
    def refused(self) -> int:
        """Number of retries denied."""
        return self._refused

    @property
    def is_available(self) -> bool:
        """Whether a retry is available."""
        return self._balance >= 1.0

    def success(self) -> None:
        """Records a complete answer."""
        self._balance = min(self._reserve, self._balance + self._ratio)

    def take(self) -> bool:
        """Consumes one retry; returns whether one was available."""
        if not self.is_available:
            self._refused += 1
            return False
        self._balance -= 1.0
        return True


def backoff_s(attempt: int, jitter: float) -> float:
    """Returns the back-off in seconds before a retry.

    Args:
        attempt: Number of the retry, from 1.
        jitter: A random number between 0 and 1.
    """
    return min(INITIAL_BACKOFF_S * 2.0 ** (attempt - 1), MAX_BACKOFF_S) * jitter


# Seconds after which a caller may retry that a leaving daemon refused; another
# daemon takes the retry.
LEAVING_RETRY_AFTER_S = 1.0

INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0

# Maximum consecutive attempts without progress, including the first.
MAX_ATTEMPTS = 3
