# End-to-end test: resources, a group, a stream, a complete response, a plain call.
. tests/lib.sh

start_platform
start_engines 1 2 50 1
start_services 1 1
put_hosts
start_daemon 1 1
start_daemon 1 2
until_true 10 curl -s "$(client_url 1 1)/health"
check_true "resources are accepted" until_true 10 apply_resources \
    '{"mvd-centro":1}'
check_true "the replica serves at the other daemon" until_true 10 \
    complete_ok 1 2
check "a complete response" 200 "$(complete 1 1 hello 3 | status_of)"
text=$(complete 1 1 hello 3 | head -n1 | grep -o '"text":"[^"]*"')
streamed=$(curl -s -N -H "Authorization: Bearer $CUSTOMER_KEY" -d \
    '{"model":"judges","prompt":"hello","max_tokens":3,"stream":true}' \
    "$(client_url 1 2)/v1/completions")
check "the stream gives the same text" "$text" \
    "\"text\":\"$(echo "$streamed" | grep -o '"text":"[^"]*"' |
    cut -d'"' -f4 | tr -d '\n')\""
check "the stream has its end mark" "data: [DONE]" \
    "$(echo "$streamed" | grep -v '^$' | tail -n1)"
check_true "the plain service answers" until_true 10 service_ok 1 1
call 1 1 '/s/board/plots/a%20b?x=1&y=%2F' -H 'X-Venue: centro' \
    -D "$RUN/headers" >/dev/null
header() {
	grep -i "^$1:" "$RUN/headers" | cut -d' ' -f2 | tr -d '\r'
}
check "path and query are passed unchanged" '/plots/a%20b?x=1&y=%2F' "$(header x-url)"
check "headers are passed in both directions" centro "$(header x-venue)"
check "the client's key is not passed on" "" "$(header x-key-seen)"
check "a wrong key" 401 "$(CUSTOMER_KEY=wrong; complete 1 1 x | status_of)"
check "an unknown deployment" 404 "$(call 1 1 /v1/completions -d \
    '{"model":"nobody","prompt":"x"}' | status_of)"
check "broken JSON" 400 "$(call 1 1 /v1/completions -d '{' | status_of)"
verdict
