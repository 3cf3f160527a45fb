package main

func init() { cases["stuck_log"] = runStuckLog }

func runStuckLog(rec *recorder, root string, trouble bool) (string, error) { return "", nil }
