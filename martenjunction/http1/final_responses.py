"""Responses to requests whose connection is closed before they have one.

They are not framed by the parser, whose state may be that of an error.
"""

_HEADERS = b"Content-Length: 0\r\nConnection: close\r\n\r\n"

# To a request that may have been executed.
UNKNOWN = b"HTTP/1.1 502 Bad Gateway\r\n" + _HEADERS

# To a request that was not passed to its handler.
NOT_RUN = b"HTTP/1.1 503 Service Unavailable\r\n" + _HEADERS

# By whether the handler has the request.
RESPONSES = {True: UNKNOWN, False: NOT_RUN}
