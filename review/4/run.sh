#!/bin/sh
# A request that crashes each runner comes again and again. TROUBLE=0: it crashes none.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review/standin ] || exit 2
exec target/review/standin deadly "$here"
