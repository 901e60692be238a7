#!/bin/bash
# Plays the case; with TROUBLE=0 the same without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
TROUBLE=${TROUBLE:-1} exec bash "$here/../play.sh" nolength "$here"
