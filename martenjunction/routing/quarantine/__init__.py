"""Quarantine of requests and parts of prompts that crash endpoints."""
