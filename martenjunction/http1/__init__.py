"""HTTP/1.1 connections: bytes by tornado, syntax by h11."""
