"""The stand-in of the platform's store keeps a limited history."""

from martenjunction_lab import platform_objects


def test_history_that_was_dropped_is_not_told_as_if_it_were_whole() -> None:
    objects = platform_objects.Objects()
    first_kept = 3
    for number in range(platform_objects.MAX_CHANGES + first_kept - 1):
        objects.write("kind", f"name-{number}", {})
    assert objects.changes("kind", first_kept - 2) is None
    told = objects.changes("kind", first_kept - 1)
    assert told is not None
    assert len(told) == platform_objects.MAX_CHANGES
