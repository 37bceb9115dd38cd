"""Packages that import some of their modules only when they are used."""

import sys
from collections.abc import Callable, Mapping, Sequence
from importlib import import_module


def make_getattr(
    package: str, names_by_module: Mapping[str, Sequence[str]]
) -> Callable[[str], object]:
    """Returns the ``__getattr__`` of a package (PEP 562).

    Processes of entry instances start often and on a part of a core, and need a part of
    the project. What only other programs use costs them nothing this way.

    :param names_by_module: what the package exports from modules that are to be
        imported late.
    """
    module_of = {
        name: module for module, names in names_by_module.items() for name in names
    }

    def find_attribute(name: str) -> object:
        module = module_of.get(name)
        if module is None:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        value = getattr(import_module(f"{package}.{module}"), name)
        # Found without this function from now on.
        setattr(sys.modules[package], name, value)
        return value

    return find_attribute
