"""Tests of the adapter of the users' platform, over its own protocols on loopback."""
