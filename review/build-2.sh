#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. Needs the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -proc:none -d target/review-2 -cp target/crocuspost.jar review/standins-2/*.java
