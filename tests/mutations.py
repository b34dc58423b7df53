"""Mutation tests: each deliberate fault must make its test fail.

Run `python -m tests.mutations`. It works on copies of the tree in
temporary folders and prints a line for each fault.
"""

import concurrent.futures
import pathlib
import shutil
import subprocess
import sys
import tempfile

import msgspec

ROOT = pathlib.Path(__file__).parents[1]
PARTS = (
    "greengagetrack",
    "bench",
    "tests",
    "docs",
    "pyproject.toml",
    "KNOWN-RED.txt",
)
TIMEOUT_S = 240
WORKERS = 4


class Fault(msgspec.Struct, frozen=True):
    """A deliberate fault: the replaced text and the test to run."""

    name: str
    path: str
    old: str
    new: str
    test: str


_ORDERS = "tests/machines/test_orders.py"
_ATTEMPTS = "tests/machines/test_attempts.py"
_FEATURES = "tests/features"
_AGENT = "greengagetrack/process/agent.py"
_BOOK = "greengagetrack/process/orders.py"

FAULTS = (
    Fault(
        "skip the incarnation check of Submit",
        _AGENT,
        "if submit.incarnation != self.incarnation:",
        "if False:",
        _ATTEMPTS,
    ),
    Fault(
        "evict records without raising the watermark",
        "greengagetrack/process/attempts.py",
        "        self._watermark_by_entry[attempt.entry] = max(\n"
        "            watermark, attempt.number\n        )\n",
        "        self._watermark_by_entry[attempt.entry] = watermark\n",
        _ATTEMPTS,
    ),
    Fault(
        "accept a late copy of a refused Submit",
        _AGENT,
        "        self.attempt_log.add_tombstone(submit.attempt, reason)\n",
        "",
        _ATTEMPTS,
    ),
    Fault(
        "add no tombstone for a Withdraw before its Submit",
        _AGENT,
        "        self.attempt_log.add_tombstone(attempt, _Reason.WITHDRAWN)\n",
        "",
        _ATTEMPTS,
    ),
    Fault(
        "report withdrawn although it has started",
        "greengagetrack/request/record.py",
        "        return self.state in (State.WITHDRAWN, State.REFUSED)\n",
        "        return True\n",
        _ATTEMPTS,
    ),
    Fault(
        "run a repeat of an order instead of joining it",
        _BOOK,
        "            return Join(order.record)\n",
        "            return Run()\n",
        _ORDERS,
    ),
    Fault(
        "run a key right after a start",
        _BOOK,
        "        if self.is_in_start_window():\n"
        "            return Deny(_Reason.ORDER_TOO_RECENT_START, "
        "_Ran.UNKNOWN)\n",
        "",
        _ORDERS,
    ),
    Fault(
        "run a key without the promise of the next in rank",
        _BOOK,
        "            if not reply.is_given:\n"
        "                return Deny(_Reason.KEY_MOVING, _Ran.UNKNOWN)\n",
        "",
        _ORDERS,
    ),
    Fault(
        "run a key at an agent that is not its home",
        _BOOK,
        "        if rendezvous.get_first(key, members) != self._agent:\n"
        "            return Deny(_Reason.KEY_MOVING, _Ran.UNKNOWN)\n",
        "",
        _ORDERS,
    ),
    Fault(
        "accept a ticket of an earlier process",
        _BOOK,
        "            or body.incarnation != self._incarnation\n",
        "",
        _ORDERS,
    ),
    Fault(
        "report not run although a lost reply may hide a run",
        "greengagetrack/request/attempt.py",
        "        if self.is_confirmed and reply.is_withdrawn and "
        "self._proves_not_run():\n"
        "            return outcome_module.Refused(reason)\n"
        "        return outcome_module.Unknown(reason)\n",
        "        return outcome_module.Refused(reason)\n",
        _FEATURES,
    ),
    Fault(
        "resume a stream one token too early",
        "greengagetrack/request/stage.py",
        "            resume_from=len(self._tokens),\n",
        "            resume_from=max(0, len(self._tokens) - 1),\n",
        _FEATURES,
    ),
    Fault(
        "grant as a new owner without waiting for the handover",
        "greengagetrack/process/limit_owner.py",
        "        if previous is not None and "
        "previous not in self._relinquished_by:\n"
        "            return False\n",
        "",
        "tests/unit/test_limit_owner.py",
    ),
    Fault(
        "grant as the old owner after the handover",
        "greengagetrack/process/limit_owner.py",
        "        candidates = self._relinquished_to | {self._name}\n",
        "        candidates = {self._name}\n",
        "tests/unit/test_limit_owner.py",
    ),
)


def try_fault(fault):
    """Return whether the test catches a fault, None if `old` is not found."""
    with tempfile.TemporaryDirectory() as folder:
        copy = pathlib.Path(folder)
        for part in PARTS:
            source = ROOT / part
            if source.is_dir():
                shutil.copytree(source, copy / part)
            else:
                shutil.copy(source, copy / part)
        path = copy / fault.path
        text = path.read_text()
        if text.count(fault.old) != 1:
            return None
        path.write_text(text.replace(fault.old, fault.new))
        run = subprocess.run(
            [sys.executable, "-m", "pytest", "-x", "-q", fault.test],
            cwd=copy,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
            timeout=TIMEOUT_S,
        )
        return run.returncode != 0


def main():
    """Try the faults; exit with 1 if one is not caught."""
    names = sys.argv[1:]
    faults = [
        fault
        for fault in FAULTS
        if not names or any(name in fault.name for name in names)
    ]
    missed = 0
    with concurrent.futures.ThreadPoolExecutor(WORKERS) as pool:
        for fault, is_caught in zip(faults, pool.map(try_fault, faults)):
            verdict = {True: "caught", False: "MISSED", None: "NO SUCH TEXT"}
            missed += is_caught is not True
            print(f"{verdict[is_caught]}: {fault.name} ({fault.test})")
    sys.exit(1 if missed else 0)


if __name__ == "__main__":
    main()
