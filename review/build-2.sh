#!/usr/bin/env bash
# Builds the stand-ins of the cases from 6 on. Needs the build of the deploy file.
set -euo pipefail
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
mkdir -p "$root/target/review-2"
javac -nowarn -d "$root/target/review-2" -cp "$root/target/lib/*" "$root"/review/rig-2/*.java
