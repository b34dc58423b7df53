"""Reads a table from a folder of TOML files."""

import pathlib

from greengagetrack.version import loader

SUFFIX = ".toml"


def read_folder(folder):
    """Return the text of each document below `folder` by its key.

    The key is the path below the folder without its suffix, such as
    `organisations/00`.
    """
    root = pathlib.Path(folder)
    return {
        path.relative_to(root).with_suffix("").as_posix(): path.read_bytes()
        for path in sorted(root.rglob(f"*{SUFFIX}"))
    }


def build_from_folder(folder, version=1):
    """Build a table from the documents below `folder`.

    Return `(table, findings)`; the table is None if it has errors.
    """
    text_by_key = read_folder(folder)
    manifest = loader.write_manifest(version, text_by_key)
    return loader.build_table(manifest, text_by_key)
