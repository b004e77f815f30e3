# Numbers in a settings file may have a fraction or an exponent, as deployments write
# them; values that are not numbers are refused with the name of the setting.
. tests/lib.sh

TEMPLATE=deploy/banklift-edge.conf.in

# settings VALUE: fills in the template, with VALUE for each number.
settings() {
	sed -e 's/{{ip}}/127.0.0.1/; s/{{internal_port_range.0}}/7340/' \
	    -e 's/{{internal_port_range.1}}/7355/' \
	    -e 's/^\([a-z-]*-address\)={{.*}}/\1=127.0.0.1:7341/' \
	    -e 's/^\(name\|domain\)={{.*}}/\1=a/' \
	    -e "s/^\\(keys-fail-closed\\|first-start\\)={{.*}}/\\1=true/" \
	    -e "s/={{.*}}/=$1/" "$TEMPLATE" >"$RUN/settings"
}

# settings_status FLAG...: prints the exit status of --check.
settings_status() {
	"$BUILD/banklift-edge" --config "$RUN/settings" --check "$@" \
	    >"$RUN/out" 2>&1
	echo $?
}

for value in 600 600.25 6e2 6.0025E+2; do
	settings "$value"
	sed -i 's/^\(cpu-share\|cores\|retry-ratio\)=.*/\1=0.12/' "$RUN/settings"
	check "every number written as $value" 0 "$(settings_status)"
done
settings 600
check "numbers of the template" 11 \
    "$(grep -c '=600$' "$RUN/settings")"
sed -i 's/^\(cpu-share\|cores\|retry-ratio\)=.*/\1=0.12/' "$RUN/settings"
for name in key-proof-ms grace-s retry-slack cpu-share; do
	check "$name: not a number" 2 "$(settings_status "--$name" 1.5x)"
	check "$name: the error names it" 1 "$(grep -c -- "--$name: must be" "$RUN/out")"
	check "$name: negative" 2 "$(settings_status "--$name" -0.5)"
	check "$name: not finite" 2 "$(settings_status "--$name" nan)"
done
verdict
