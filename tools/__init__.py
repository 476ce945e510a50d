"""Tools of the project itself: checks, generated pages, broken builds."""
