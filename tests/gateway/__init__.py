"""Tests of the gateway, in virtual time against a small model of its surroundings."""
