-- Streams cut off by a graceful shutdown. An instance receives SIGTERM while streams are in
-- progress. All of them complete, and other instances take over its gates.
fleet(3, 3, 2)
callers(30, 20)
pass(2)
shut_down("i1")
wait_callers()
check("whole_answer", "graceful_shutdown", "once_per_key")
