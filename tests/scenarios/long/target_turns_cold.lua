-- Overload of a target that turns cold. Two targets reload without notice and without a restart of
-- the process: their streams are aborted, and they go on cold as new incarnations.
fleet(6, 6, 3)
callers(80, 20)
pass(3)
target("engine-1", "cold")
target("engine-4", "cold")
wait_callers()
check("whole_answer", "cold_start")
