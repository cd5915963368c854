#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15; needs the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac -nowarn -cp target/crocuspost.jar -d target/review-3 review/standins-3/*.java
