#!/bin/bash
# Builds the stand-ins and scripts of cases 6 and later, each with all that it starts besides the daemons, into target/review-2.
set -e
cd "$(dirname "$0")/.."
node review/lib-2/build.mjs
