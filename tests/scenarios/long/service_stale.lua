-- The service goes stale after a change; an instance that starts then must not bring the old text
-- back.
fleet(6, 6, 3)
zone_out("b")
pass(3)
service("stale")
callers(40, 20, "unknown")
kill("i1")
start("i1")
wait_callers()
check("whole_answer", "zone_out", "config_versions")
