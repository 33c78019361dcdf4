#!/bin/sh
# The stand-ins are Python and need nothing but what the deploy file builds.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:. python3 -c 'import galenaswitch.platform.soak.store, aiohttp'
for file in review/*.py review/[1-5]/*.py; do
    [ ! -f "$file" ] || python3 -c "import ast, sys; ast.parse(open(sys.argv[1]).read())" "$file"
done
