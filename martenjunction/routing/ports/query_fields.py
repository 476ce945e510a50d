"""Fields of a request's query string."""

from urllib import parse

from martenjunction.http1 import messages


def decode(request: messages.Request) -> dict[str, str]:
    """Returns the fields of a request's query string."""
    text = request.target.partition(b"?")[2].decode("latin-1")
    return dict(parse.parse_qsl(text))
