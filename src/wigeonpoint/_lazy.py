"""Lets a package offer names whose modules are imported on first use.

A gateway process is back sooner after a power loss when it imports only what it runs.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from importlib import import_module
from typing import Any


def lazy_exports(package: str, names: Mapping[str, tuple[str, ...]]) -> Callable[[str], Any]:
    """Builds the `__getattr__` of a package.

    Args:
        package: Name of the package.
        names: Names that the package offers, by the module that holds them.

    Returns:
        A function that imports the module of a name and gives the name's value.
    """
    modules = {name: module for module, offered in names.items() for name in offered}

    def get(name: str) -> Any:
        module = modules.get(name)
        if module is None:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        return getattr(import_module(module), name)

    return get
