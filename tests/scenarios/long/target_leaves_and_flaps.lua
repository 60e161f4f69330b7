-- Requests sent to a leaving target, and overload of a target that starts cold. One target is
-- marked as leaving in the instance list; another is killed and restarted four times.
fleet(6, 6, 3)
callers(80, 20)
pass(1)
leave("engine-2")
for _ = 1, 4 do
    kill("engine-3")
    pass(0.5)
    start("engine-3")
    pass(1.5)
end
wait_callers()
check("whole_answer", "leaving_target", "cold_start")
