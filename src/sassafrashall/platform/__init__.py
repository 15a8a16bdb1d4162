"""Adapter to the users' platform: header names and formats, no decisions."""
