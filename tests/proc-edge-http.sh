# Malformed, hostile and unusual HTTP requests: bytes and the expected response.
. tests/lib-edge.sh

start_edge_platform 2 1
start_edge 1
put_config 1
until_true 10 edge_ready 1

# raw BYTES [SECONDS]: sends bytes with escapes, prints the response.
raw() {
	timeout "${2:-1}" bash -c 'exec 3<>"/dev/tcp/$0/8080"
printf "$1" >&3
cat <&3' "$(edge_ip 1)" "$1" 2>/dev/null | tr -d '\r'
}

# first BYTES: prints the first status; count BYTES: prints how many are 200.
first() {
	raw "$@" | sed -n '1s/^HTTP\/1.1 \([0-9]*\).*/\1/p'
}
count() {
	raw "$@" | grep -o 'HTTP/1.1 200' | wc -l
}

H='Host: h\r\nX-Api-Key: k1\r\nAttempt-Id: r\r\n'
GET="GET /look/x HTTP/1.1\r\n$H"
POST="POST /look/x HTTP/1.1\r\n$H"
LAST='POST /look/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: r\r\n'
LAST="${LAST}Transfer-Encoding: chunked\r\n"

check "a plain request" 200 "$(first "$GET\r\n")"
check "length and chunks together" 400 "$(first \
    "${POST}Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")"
check "two lengths" 400 \
    "$(first "${POST}Content-Length: 1\r\nContent-Length: 2\r\n\r\nab")"
check "a length that is not a number" 400 \
    "$(first "${POST}Content-Length: 1x\r\n\r\na")"
check "chunked not last" 400 "$(first \
    "${POST}Transfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n")"
check "a bad chunk length" 400 \
    "$(first "${POST}Transfer-Encoding: chunked\r\n\r\nzz\r\n")"
check "a space before the colon" 400 "$(first "${GET}X-A : b\r\n\r\n")"
check "no method" 400 "$(first " / HTTP/1.1\r\n\r\n")"
check "bytes that are not a request" 400 "$(first "\001\002\003\r\n\r\n")"
check "no Host" 400 \
    "$(first "GET /look/x HTTP/1.1\r\nAttempt-Id: r\r\n\r\n")"
check "no id" 400 "$(first "GET /look/x HTTP/1.1\r\nHost: h\r\n\r\n")"
check "a body that is too large" 413 \
    "$(first "${POST}Content-Length: 5001\r\n\r\n")"
check "a chunked body that becomes too large" 413 "$(first \
    "${POST}Transfer-Encoding: chunked\r\n\r\n2000\r\n$(printf '%08192d' 0)")"
check "a head that is too large" 431 \
    "$(first "${GET}X-A: $(printf '%03000d' 0)\r\n\r\n")"
check "a head that does not end" 408 "$(first "$GET" 3)"
check "a body in chunks" 200 "$(first \
    "${POST}Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n")"
check "a body in chunks with trailers" 200 "$(first \
    "${POST}Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX-T: 1\r\n\r\n")"
check "trailers after an empty body in chunks" 200 "$(first \
    "${LAST}X-Api-Key: k1\r\n\r\n0\r\nX-T: none\r\n\r\n")"
check "a key in the trailers is none" 401 "$(first \
    "${LAST}X-Api-Key: none\r\n\r\n0\r\nX-Api-Key: k1\r\n\r\n")"
check "Expect: 100-continue" 100 "$(first \
    "${POST}Expect: 100-continue\r\nContent-Length: 2\r\n\r\nab")"
check "Expect: 100-continue: the final response" 1 "$(count \
    "${POST}Expect: 100-continue\r\nContent-Length: 2\r\n\r\nab")"
check "three pipelined requests" 3 "$(count "$GET\r\n$GET\r\n$GET\r\n")"
check "a request within the length is data" 1 "$(count \
    "${POST}Content-Length: 18\r\nConnection: close\r\n\r\nGET / HTTP/1.1\r\n\r\n")"
check "HTTP/1.0 ends with its connection" 1 "$(raw \
    "GET /look/x HTTP/1.0\r\n$H\r\n" | grep -ci '^connection: close')"
check "HEAD has no body" 0 "$(raw "HEAD /look/x HTTP/1.1\r\n$H\r\n" |
    grep -c 'whole answer')"
check "an upgrade is not followed" 200 "$(first \
    "${GET}Connection: Upgrade\r\nUpgrade: h2c\r\n\r\n")"
check "a stream to HTTP/1.0 is not chunked" "0 1 2 3 4 5 6 7 " \
    "$(until_true 10 groups_open 1 1; raw \
    "POST /write/x HTTP/1.0\r\n${H}Model: m\r\nContent-Length: 1\r\n\r\np" |
    event_ids)"
check "the daemon still serves" "whole answer 200" "$(ask 1 /look/x)"
check_true "the daemon has not been restarted" running edge-1

verdict
