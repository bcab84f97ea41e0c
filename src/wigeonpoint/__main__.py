"""Runs the command line with `python -m wigeonpoint`."""

from __future__ import annotations

from wigeonpoint.cli import main

if __name__ == "__main__":
    main()
