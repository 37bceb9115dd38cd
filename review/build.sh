#!/bin/sh
# Builds the stand-ins that the scripts start. They are Python and use its standard library
# only, so there is nothing to compile; this checks that they load. The product is built
# by the command of the deploy file.
cd "$(dirname "$0")" || exit 1
PYTHONDONTWRITEBYTECODE=1 exec python3 -c "import stand_ins"
