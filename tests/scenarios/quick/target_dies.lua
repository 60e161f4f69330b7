-- An engine is killed while it answers. Streams resume at another engine, and the killed engine
-- starts again cold without falling over.
fleet(3, 4, 2)
callers(40, 20)
pass(2)
kill("engine-1")
pass(1)
start("engine-1")
wait_callers()
check("whole_answer", "once_per_key", "cold_start")
