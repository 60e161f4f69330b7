-- Loss of a configuration change during an outage of the configuration service. The service fails
-- right after an availability zone was taken out, and an instance is killed during the outage.
fleet(6, 6, 3)
callers(60, 30, "unknown", "cut")
pass(2)
zone_out("a")
service("down")
pass(1)
kill("i2")
pass(4)
service("normal")
zone_in("a")
wait_callers()
check("whole_answer", "zone_out", "once_per_key", "config_versions")
