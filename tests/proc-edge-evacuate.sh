# Guards against requests to endpoints of a failure domain that the operator has
# evacuated. Seen: the operator's record was read by nothing; in this test 86 requests
# reached an endpoint of such a failure domain.
. tests/lib-edge.sh

B=127.$NET.2
COUNT=4

evacuate() { # DOMAIN BODY: evacuates a failure domain; takes it back without a body
	curl -s -m 5 -X PUT --data "$2" "$STORE/evacuate/$1"
}

all_know() { # NUMBER of evacuated failure domains
	for n in $(seq $COUNT); do
		[ "$(metric "$n" domains_evacuated)" = "$1" ] || return 1
	done
}

arrivals() { # ENDPOINT
	journal | grep -c "^$1 ran"
}

start_edge_platform 4 4
control "zone-$B.4" 1
for e in 3 4; do
	control "zone-127.$NET.1.$e" 1
done
put_config 1
for n in $(seq $COUNT); do
	start_edge "$n" --domain "$(echo a b | cut -d' ' -f$((n % 2 + 1)))"
done
check_true "all are ready" until_true 15 all_ready
ask_paced 2 $COUNT /look/x
check_true "an endpoint of the failure domain serves" [ "$(arrivals b4)" -gt 0 ]

evacuate b '{}'
check_true "all daemons know of the evacuation" until_true 2 all_know 1
before=$(arrivals b4)
ask_paced 4 $COUNT /look/x
check "all are served elsewhere" 100 "$(answered 200)"
check "nothing is sent to the failure domain" "$before" "$(arrivals b4)"
ask_paced 2 $COUNT /write/x
check "so are streams" 50 "$(answered 200)"

# A daemon that starts learns of it, also while the store is down; a failure domain that
# nobody knows changes nothing.
evacuate nowhere '{}'
check_true "an unknown failure domain is known as evacuated" until_true 2 all_know 2
check_true "a line says that it has no endpoints" until_true 2 grep -q \
    'event=domain_evacuated domain=nowhere endpoints=0' "$RUN"/edge-1.out
end edge-2
start_edge 2 --domain a
check_true "a daemon that started knows both" until_true 5 all_know 2
check_true "it is ready" until_true 10 edge_ready 2
ask_paced 2 $COUNT /look/x
check "all are served" 50 "$(answered 200)"
check "none reached an evacuated endpoint" 0 "$(journal | grep -c '^in-evacuated')"

evacuate b ''
check_true "all daemons know that it was taken back" until_true 2 all_know 1
ask_paced 2 $COUNT /look/x
check "all are served again" 50 "$(answered 200)"
check_true "the failure domain serves again" [ "$(arrivals b4)" -gt "$before" ]
verdict
