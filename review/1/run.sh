#!/bin/sh
# Writes what was sent, answered and run to record.txt in this folder.
here=$(cd "$(dirname "$0")" && pwd)
exec python3 "$here/case.py" "$here/record.txt"
