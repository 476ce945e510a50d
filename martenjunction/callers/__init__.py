"""HTTP interface for callers: request handlers, keys and admission."""
