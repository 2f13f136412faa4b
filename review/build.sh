#!/usr/bin/env bash
# Builds the stand-ins that the cases start. The project's own programs are built by deploy/balancer.toml before.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/standin ./review/standin
