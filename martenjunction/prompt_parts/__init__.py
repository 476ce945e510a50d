"""Quarantine of parts of prompts that crash endpoints."""
