-- Use of expired leases. An instance that holds gates and permits is paused for longer than its
-- leases last, and resumes after they have expired.
fleet(6, 6, 3)
callers(60, 60, "unknown", "cut")
pass(2)
pause("i1")
pass(4)
resume("i1")
wait_callers()
check("whole_answer", "once_per_key", "load_bound")
