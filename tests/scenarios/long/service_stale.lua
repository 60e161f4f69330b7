-- Return to an older configuration. The configuration service answers with an older version after a
-- change, and an instance that restarts then must not bring the old version back.
fleet(6, 6, 3)
zone_out("b")
pass(3)
service("stale")
callers(40, 20, "unknown")
kill("i1")
start("i1")
wait_callers()
check("whole_answer", "zone_out", "config_versions")
