"""Sets scenarios up and tears their processes down."""
