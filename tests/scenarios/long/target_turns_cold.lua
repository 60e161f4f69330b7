-- Engines turn cold again without a restart and without warning.
fleet(6, 6, 3)
callers(80, 20)
pass(3)
target("engine-1", "cold")
target("engine-4", "cold")
wait_callers()
check("whole_answer", "cold_start")
