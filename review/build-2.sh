#!/usr/bin/env bash
# The stand-ins of the second review's scripts are Python and need no build. Checks that what they use is there.
set -euo pipefail
cd "$(dirname "$0")/.."
test -x target/bin/saltvaned || { echo "build the programs first, as the deploy file has it"; exit 1; }
python3 -c 'import asyncio, http.client, json, socket, subprocess'
