-- An instance is told to stop while it carries streams. Nothing is cut off, and the instance's gates
-- go on elsewhere.
fleet(3, 3, 2)
callers(30, 20)
pass(2)
shut_down("i1")
wait_callers()
check("whole_answer", "graceful_shutdown", "once_per_key")
