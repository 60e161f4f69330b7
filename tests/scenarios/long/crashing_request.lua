-- Crashes that spread from target to target. The content of one chat crashes every target, and its
-- caller sends it again and again. At most two targets may crash, and other chats are answered.
fleet(6, 6, 3)
for number = 1, 6 do
    target("engine-" .. number, "crash_on", "caller-1-7 ")
end
callers(40, 10, "unknown", "cut", "not_run")
wait_callers()
check("whole_answer", "once_per_key")
