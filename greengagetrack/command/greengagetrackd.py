"""The daemon: one entry or one agent."""

import os
import signal
import sys

NODE_FILE = "GREENGAGETRACK_NODE_FILE"


def main():
    """Run the program.

    On a node of the platform, the node file contains all settings. The
    modules are imported here to save the memory of those not needed.
    """
    if os.environ.get(NODE_FILE):
        # Until the daemon handles it; its default action ends the process.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        from greengagetrack.command import node

        sys.exit(node.run_node(os.environ[NODE_FILE]))
    from greengagetrack.command import standalone

    standalone.main()


if __name__ == "__main__":
    main()
