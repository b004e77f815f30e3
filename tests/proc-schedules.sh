# Thousands of random fault schedules over the decision logic, without sanitizers;
# test-schedules alone runs some hundreds with sanitizers.
exec "$(dirname "$BUILD")/debug/test-schedules" 1 4000
