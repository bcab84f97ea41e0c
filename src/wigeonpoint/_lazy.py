"""Package exports whose modules are imported on first use.

A gateway process restarts faster after a power loss if it imports only the modules that it uses.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from importlib import import_module
from typing import Any


def lazy_exports(package: str, names: Mapping[str, tuple[str, ...]]) -> Callable[[str], Any]:
    """Builds the `__getattr__` of a package.

    Args:
        package: Name of the package.
        names: Exported names by the module that defines them.

    Returns:
        A function that imports the module of a name and returns the name's value.
    """
    modules = {name: module for module, exported in names.items() for name in exported}

    def get(name: str) -> Any:
        module = modules.get(name)
        if module is None:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        return getattr(import_module(module), name)

    return get
