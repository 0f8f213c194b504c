"""Signals that arrive while a daemon starts."""

import signal
import subprocess
import sys
import time
from pathlib import Path

from ..base import TestCase

IMPORTS_BEGIN_S = 0.1  # the interpreter is up, and the daemon's modules are not imported yet
EXIT_INVALID = 2


class StartTest(TestCase):
    def test_sighup_does_not_end_a_process_that_imports_its_modules(self) -> None:
        """The settings are invalid, so that the process ends by itself once it has read them."""
        code = (
            "import sys, time, runpy\n"
            "class SlowImport:\n"
            "    def find_spec(self, name, *args):\n"
            "        if name == 'pistachiohill.daemon.start':\n"
            "            print('importing', flush=True)\n"
            "            time.sleep(0.5)\n"
            "sys.meta_path.insert(0, SlowImport())\n"
            "sys.argv = ['daemon', 'entry', '/nonexistent/entry.toml']\n"
            "runpy.run_module('pistachiohill.daemon', run_name='__main__')\n"
        )
        with subprocess.Popen(
            [sys.executable, "-c", code],
            cwd=Path(__file__).resolve().parents[2],
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
        ) as process:
            assert process.stdout is not None
            self.assertEqual(b"importing\n", process.stdout.readline())
            time.sleep(IMPORTS_BEGIN_S)
            process.send_signal(signal.SIGHUP)
            self.assertEqual(EXIT_INVALID, process.wait(20.0))
