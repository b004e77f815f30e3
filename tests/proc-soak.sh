# Short runs of the soak: one seed, and one that failed before (soak/seeds).
NET=${NET:-10} soak/soak 1 5 || exit 1
NET=${NET:-10} soak/soak 3 5 || exit 1
# A run that is long enough for orders that are carried out late.
NET=${NET:-10} soak/soak 5 12
