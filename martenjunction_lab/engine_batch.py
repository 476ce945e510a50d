"""The batch of a stand-in of a model engine, and the queue before it."""

from martenjunction_lab import engine_run


class Batch:
    """Runs that are decoded together; the most urgent ones join first."""

    def __init__(self) -> None:
        self._runs: list[engine_run.Run] = []
        self._queue: list[engine_run.Run] = []

    @property
    def load(self) -> tuple[int, int]:
        """Requests in the batch and in the queue."""
        return len(self._runs), len(self._queue)

    def add(self, run: engine_run.Run) -> None:
        """Puts a run into the queue."""
        self._queue.append(run)
        self._queue.sort(key=lambda queued: queued.priority)

    def clear(self) -> None:
        """Drops all runs."""
        self._runs.clear()
        self._queue.clear()

    def fill(self, slots: int) -> int:
        """Moves runs from the queue into free slots; returns how many run."""
        while self._queue and len(self._runs) < slots:
            run = self._queue.pop(0)
            if not run.cancelled:
                self._runs.append(run)
        return len(self._runs)

    def advance(self, seconds: float) -> int:
        """Takes one decode step.

        Args:
            seconds: What the step is worth in reading prompts.

        Returns:
            How many tokens were made.
        """
        return sum(self._advance(run, seconds) for run in list(self._runs))

    def _advance(self, run: engine_run.Run, seconds: float) -> bool:
        """Advances one run; returns whether it made a token."""
        if run.cancelled:
            self._runs.remove(run)
            return False
        if run.prefill_left > 0:
            run.prefill_left -= seconds
            if run.prefill_left > 0:
                return False
        run.made += 1
        run.changed.set()
        if run.done:
            self._runs.remove(run)
        return True
