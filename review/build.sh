#!/bin/bash
# Builds what the cases need besides the build of the deploy file. The stand-ins are Python 3 without libraries, so that
# there is nothing to compile: this checks that they can be run.
cd "$(dirname "$0")" || exit 1
python3 -c 'import sys; sys.exit(0 if sys.version_info >= (3, 8) else "Python 3.8 or later is needed")' || exit 1
for file in standins/*.py [0-9]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file" || exit 1
done
echo "stand-ins are ready"
