#!/bin/sh
# The store comes back from an older copy after a new holder has given its first order. TROUBLE=0: it does not.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review/standin ] || exit 2
exec target/review/standin drill "$here"
