-- Requests sent to an availability zone that is out, or bookings that run twice when it changes.
-- The operator takes zone a out under load and brings it back.
fleet(6, 6, 3)
callers(60, 30)
pass(2)
zone_out("a")
pass(5)
zone_in("a")
wait_callers()
check("whole_answer", "zone_out", "once_per_key")
