#!/bin/bash
# Builds the stand-ins that the cases start. The project's programs are built by the deploy file.
set -eu
cd "$(dirname "$0")/stage"
mkdir -p ../bin
CGO_ENABLED=0 GOFLAGS=-mod=mod GOPROXY=off go build -o ../bin/stage .
