"""Tests of the adapter to the users' platform, over its own protocols on loopback."""
