"""The daemon: one entry or one agent."""

import os
import sys

from greengagetrack.command import early_signals

NODE_FILE = "GREENGAGETRACK_NODE_FILE"


def main():
    """Run the program.

    On a node of the platform, the node file contains all settings. The
    modules are imported here to save the memory of those not needed.
    """
    if os.environ.get(NODE_FILE):
        early = early_signals.hold_signals()
        from greengagetrack.command import node

        code = node.run_node(os.environ[NODE_FILE], early)
        early_signals.ignore_signals()
        sys.exit(code)
    from greengagetrack.command import standalone

    standalone.main()


if __name__ == "__main__":
    main()
