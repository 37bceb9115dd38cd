#!/usr/bin/env bash
# The stand-ins of the second review are Python and use its standard library only, so
# that there is nothing to compile; this checks that they load. The product is built by
# the command of the deploy file.
cd "$(dirname "$0")" && PYTHONDONTWRITEBYTECODE=1 exec python3 -c "import stand_ins_2"
