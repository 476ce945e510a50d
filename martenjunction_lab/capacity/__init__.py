"""Measures slopes and works out what each role needs at the target size."""
