-- Measures the service before a zone is taken out, while it is out, and after its return, with nine
-- instances, twelve engines and three applications.
fleet(9, 12, 3)
pass(4)
callers(200, 60)
wait_callers()
zone_out("a")
callers(200, 60, "unknown", "cut", "not_run")
wait_callers()
zone_in("a")
callers(200, 60, "unknown", "cut", "not_run")
wait_callers()
check("whole_answer", "zone_out")
