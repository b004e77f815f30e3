# Guards against a response that an endpoint cuts by a regular close and that is passed on
# as whole: heads, bodies and streams, on new and kept connections.
. tests/lib-stop.sh

COUNT=1

start_stopping_platform
check_kinds direct
verdict
