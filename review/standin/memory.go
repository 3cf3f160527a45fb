package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["memory"] = runMemory }

// residentMB returns the resident memory of a process and its peak.
func residentMB(pid int) (now, peak int) {
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0
	}
	defer func() { _ = f.Close() }()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) < 2 {
			continue
		}
		kb, _ := strconv.Atoi(fields[1])
		switch fields[0] {
		case "VmRSS:":
			now = kb >> 10
		case "VmHWM:":
			peak = kb >> 10
		}
	}
	return now, peak
}

func runMemory(rec *recorder, root string, trouble bool) (string, error) {
	w, err := newWorld(rec, root, 0)
	if err != nil {
		return "", err
	}
	defer w.close()
	g, err := w.addGateway("kig-a")
	if err != nil {
		return "", err
	}
	if err := w.awaitReady(); err != nil {
		return "", err
	}
	n, _ := strconv.Atoi(os.Getenv("CONNS"))
	if n == 0 {
		n = 400
	}
	text := []byte("START " + strings.Repeat("x", 1000<<10))
	if !trouble {
		text = []byte("START x")
	}
	var running sync.WaitGroup
	for range n {
		running.Go(func() {
			c, err := net.DialTimeout("tcp", g.ip+":8465", time.Second)
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			_, _ = c.Write(text)
			time.Sleep(3 * time.Second)
		})
	}
	for range 30 {
		now, peak := residentMB(g.cmd.Process.Pid)
		rec.add("gateway: %d MB resident, peak %d MB", now, peak)
		time.Sleep(100 * time.Millisecond)
	}
	running.Wait()
	_, peak := residentMB(g.cmd.Process.Pid)
	if peak > 206 {
		return fmt.Sprintf("peak %d MB", peak), nil
	}
	return "", nil
}
