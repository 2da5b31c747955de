#!/bin/sh
# Runs this script; TROUBLE=0 runs it without the disruption. See claim.txt.
folder=$(cd "$(dirname "$0")" && pwd)
exec "$folder/../../standins-2/run-2.sh" "$folder" lost_registrations
