# Guards against requests denied by an older configuration while a daemon catches up: a
# response of the store that is cut short doesn't prove that the daemon has the newest one.
. tests/lib-edge.sh

start_edge_platform 2 1
put_config 1
start_edge 1
until_true 10 edge_ready 1
check_true "a request is served" until_true 15 eval \
    '[ "$(ask 1 /look/x | status_last)" = 200 ]'

# The daemon misses twenty versions, the last of which has a new route. Each read returns
# one of them.
control down 1
for version in $(seq 2 20); do
	put_config "$version"
done
put_config 21 's/"path_prefix":"\/free\/"/"path_prefix":"\/new\/"/'
check_true "the store is lost" until_true 3 grep -q 'event=store_lost topic=config' "$RUN/edge-1.out"
control read-records 1
control down 0
check_true "the store answers again" until_true 3 grep -q 'event=store_regained topic=config' "$RUN/edge-1.out"
ask_paced 2 1 /new/x
check "the new route is not denied" 0 "$(answered 404)"
check_true "it is served" [ "$(answered 200)" -gt 0 ]
check "the responses were cut short" 0 "$(grep -q event=store_read_cut "$RUN/edge-1.out"; echo $?)"
verdict
