#!/bin/bash
# Builds the stand-ins of the scripts in review/4 to review/8 into review/bin/.
set -e
cd "$(dirname "$0")"
mkdir -p bin
cc -std=gnu11 -O1 -Wall -Wextra -pthread -o bin/stand stand.c
cc -std=gnu11 -O1 -Wall -Wextra -o bin/client client.c
cc -std=gnu11 -O1 -Wall -Wextra -o bin/crowd crowd.c
make -s -C .. BUILD=target target/standin-platform
cc -std=gnu11 -O1 -Wall -Wextra -Wno-unused-parameter -I../src -I../platform -I../tests $(pkg-config --cflags libuv glib-2.0 jansson libxxhash libtirpc) -o bin/cancel cancel.c ../target/tests/standin-platform.o ../target/tests/fault.o $(ls ../target/tests/fake-*.o | grep -v -e fake-group -e fake-log) ../target/libbanklift.a $(pkg-config --libs libuv libulfius libmicrohttpd libtirpc popt glib-2.0 liburcu-bp libcurl jansson libxxhash) -lhttp_parser -lm -pthread
cc -std=gnu11 -O1 -Wall -Wextra -o bin/kept kept.c -lhttp_parser
