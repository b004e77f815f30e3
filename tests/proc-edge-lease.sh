# A daemon takes over the placer's lease from one that has stopped and stops itself;
# it must free all that it has read.
. tests/lib-edge.sh

is_placer() { # DAEMON-NUMBER
	[ "$(metric "$1" placer)" = 1 ]
}

# end_gently DAEMON-NUMBER: ends a daemon with SIGTERM, as the platform does.
end_gently() {
	kill -TERM "$(pid_of "edge-$1")"
	wait "$(pid_of "edge-$1")"
}

start_edge_platform 2 1
put_config 1
start_edge 1 --grace-s 4
check_true "the first daemon is the placer" until_true 10 is_placer 1
check_true "the first daemon exits with status 0" end_gently 1
start_edge 2 --grace-s 4
check_true "the second daemon is the placer" until_true 10 is_placer 2
end_gently 2
check "no memory is leaked" 0 \
    "$(cat "$RUN"/edge-2.* | grep -c 'LeakSanitizer')"
verdict
