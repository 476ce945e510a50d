"""HTTP/1.1 client and server: I/O with tornado, parsing with h11."""
