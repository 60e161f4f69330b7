-- A booking that runs twice after the failure of an instance. The instance is killed without
-- warning and restarts as a new incarnation. Its streams are cut and its idempotency keys are
-- answered "unknown".
fleet(6, 6, 3)
callers(60, 60, "unknown", "cut")
pass(2)
kill("i1")
pass(3)
start("i1")
wait_callers()
check("whole_answer", "once_per_key")
