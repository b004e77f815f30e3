#!/bin/bash
# Builds the stand-ins of the scripts in review/4 to review/8 into review/bin/.
set -e
cd "$(dirname "$0")"
mkdir -p bin
cc -std=gnu11 -O1 -Wall -Wextra -pthread -o bin/stand stand.c
cc -std=gnu11 -O1 -Wall -Wextra -o bin/client client.c
cc -std=gnu11 -O1 -Wall -Wextra -o bin/crowd crowd.c
