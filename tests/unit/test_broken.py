"""Tests that the deliberately broken builds replace code that exists.

`bench.soak.broken` sets methods and functions by name. After a rename it
would set a name that nobody calls, and the build would not be broken.
"""

import inspect
import sys

import pytest

from bench.soak import broken

MISSING = object()


def get_attributes():
    """Return the attributes of all modules and classes of the package."""
    modules = [
        module
        for name, module in list(sys.modules.items())
        if name.split(".")[0] == "greengagetrack"
    ]
    owners = set(modules)
    for module in modules:
        for value in vars(module).values():
            if inspect.isclass(value) and value.__module__ == module.__name__:
                owners.add(value)
    return {owner: dict(vars(owner)) for owner in owners}


def apply_patch(patch):
    """Return the attributes that a patch adds and those it replaces.

    Restores all of them.
    """
    before = get_attributes()
    added, replaced = [], []
    try:
        patch()
    finally:
        for owner, attributes in before.items():
            for name, value in dict(vars(owner)).items():
                old = attributes.get(name, MISSING)
                if old is MISSING:
                    added.append(f"{owner.__name__}.{name}")
                    delattr(owner, name)
                elif old is not value:
                    replaced.append(f"{owner.__name__}.{name}")
                    setattr(owner, name, old)
    return added, replaced


@pytest.mark.parametrize("build", sorted(broken.PATCH_BY_BUILD))
def test_broken_build_replaces_only_existing_attributes(build):
    before = get_attributes()
    added, replaced = apply_patch(broken.PATCH_BY_BUILD[build])
    assert added == []
    assert replaced != []
    assert get_attributes() == before
