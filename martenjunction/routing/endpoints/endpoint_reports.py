"""Tells other boxes of this box's runs, and takes in theirs."""

# The load of one box at one endpoint: endpoint id, urgency, whether the prompts
# are long, number of in-flight requests of that kind, and their prompt tokens
# that are not processed yet.
LoadRow = tuple[str, int, bool, int, int]

# Requests of one box at one endpoint: endpoint id, requests that ended and
# requests that failed, each per second.
OutcomeRow = tuple[str, float, float]
