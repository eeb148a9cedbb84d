#!/usr/bin/env python3
"""Runs the commands of a page as a newcomer would: all blocks marked "shell run", in one shell.

A comment line "# prints: TEXT" in a block states what its commands print; the run fails when the
output lacks it. The demo listens on a loopback address of its own, so that runs do not meet.
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
        print("the page has no commands, or does not say what they print")
        return 1
    pid = os.getpid()
    environment = dict(os.environ, HOST=f"127.{pid >> 16 & 63 | 64}.{pid >> 8 & 255}.{pid & 255}")
    # What the page leaves running ends with the shell.
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
        print("not printed:", it)
    print("exit code of the commands:", shell.returncode)
    return 1 if missing or shell.returncode != 0 else 0


sys.exit(main())
