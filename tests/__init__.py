"""Tests, one class a subject."""
