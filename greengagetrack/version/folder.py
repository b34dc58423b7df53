"""Reads a table from a folder of TOML files, as operators keep it."""

import pathlib

from greengagetrack.version import loader

SUFFIX = ".toml"


def read_folder(folder):
    """Return the documents below `folder`: key to bytes.

    The key is the path below the folder without its suffix, such as
    `organisations/00`.
    """
    root = pathlib.Path(folder)
    return {
        path.relative_to(root).with_suffix("").as_posix(): path.read_bytes()
        for path in sorted(root.rglob(f"*{SUFFIX}"))
    }


def build_from_folder(folder, version=1):
    """Return `(table, findings)` of the documents below `folder`."""
    text_by_key = read_folder(folder)
    manifest = loader.write_manifest(version, text_by_key)
    return loader.build_table(manifest, text_by_key)
