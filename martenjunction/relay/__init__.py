"""One request, from accept to last byte."""
