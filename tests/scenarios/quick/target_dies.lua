-- Lost streams and overload of a cold target after a crash. A target is killed while it answers.
-- Its streams resume at another target, and it restarts cold without exiting because of overload.
fleet(3, 4, 2)
callers(40, 20)
pass(2)
kill("engine-1")
pass(1)
start("engine-1")
wait_callers()
check("whole_answer", "once_per_key", "cold_start")
