#!/usr/bin/env bash
# Builds the stand-ins of the cases. Needs the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf review/out
mkdir -p review/out
javac -proc:none -d review/out -cp "target/lib/*" review/harness/*.java
