#!/usr/bin/env python3
"""Runs the commands of a documentation page: all blocks marked "shell run", in one shell.

A comment line "# prints: TEXT" in a block states what its commands print; the run fails if the
output lacks it. Each run uses its own loopback address, so that parallel runs do not conflict.
"""
import os
import pathlib
import re
import signal
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent


def main():
    page = (ROOT / sys.argv[1]).read_text()
    blocks = re.findall(r"^```shell run\n(.*?)^```$", page, re.MULTILINE | re.DOTALL)
    script = "\n".join(blocks)
    expected = re.findall(r"^# prints: (.*)$", script, re.MULTILINE)
    if not blocks or not expected:
        print("the page has no commands, or no lines that state what they print")
        return 1
    pid = os.getpid()
    environment = dict(os.environ, HOST=f"127.{pid >> 16 & 63 | 64}.{pid >> 8 & 255}.{pid & 255}")
    # Ends the background jobs of the page with the shell.
    prologue = 'set -euo pipefail\ntrap \'kill $(jobs -p) 2>/dev/null || true\' EXIT\n'
    shell = subprocess.Popen(["bash", "-c", prologue + script], cwd=ROOT, env=environment,
                             stdin=subprocess.DEVNULL, stdout=subprocess.PIPE,
                             stderr=subprocess.STDOUT, text=True)
    try:
        output, _ = shell.communicate(timeout=240)
    except subprocess.TimeoutExpired:
        shell.send_signal(signal.SIGTERM)
        output, _ = shell.communicate()
    print(output)
    missing = [it for it in expected if it not in output]
    for it in missing:
        print("missing in the output:", it)
    print("exit code of the commands:", shell.returncode)
    return 1 if missing or shell.returncode != 0 else 0


sys.exit(main())
