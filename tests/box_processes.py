"""Boxes as separate processes, under the name that tests use."""

from martenjunction_lab import box_processes

Box = box_processes.Box
start = box_processes.start
settings_of = box_processes.settings_of
