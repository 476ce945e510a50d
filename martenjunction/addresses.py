"""Parsing of socket addresses."""


def split_address(address: str) -> tuple[str, int]:
    """Splits a validated address, such as `10.0.0.1:80`, into host and port."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
