#!/bin/bash
here=$(cd "$(dirname "$0")" && pwd)
exec bash "$here/../play.sh" nolength "$here"
