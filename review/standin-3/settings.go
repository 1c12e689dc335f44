//go:build review3

package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"os"
	"path/filepath"
)

// Ports of every process. Processes differ by their loopback address.
const (
	portFront, portReady, portControl, portApp, portPeers, portStore = 18161, 18167, 18166, 18170, 18172, 18169
)

// entryIP, runnerIP and storeIP return the addresses of a deployment on a loopback network.
func entryIP(network string, i int) string  { return fmt.Sprintf("%s.%d", network, 1+i) }
func runnerIP(network string, i int) string { return fmt.Sprintf("%s.%d", network, 101+i) }
func storeIP(network string) string         { return network + ".250" }

// freeNetwork returns a loopback network on which nothing listens yet.
func freeNetwork() (string, bool) {
	for i := range 200 {
		network := fmt.Sprintf("127.%d.%d", 20+(os.Getpid()+i)%200, (os.Getpid()/200)%250)
		ln, err := new(net.ListenConfig).Listen(context.Background(), "tcp", fmt.Sprintf("%s:%d", storeIP(network), portStore))
		if err != nil {
			continue
		}
		_ = ln.Close()
		return network, true
	}
	return "", false
}

// writeSettings writes the settings files of a small deployment into a folder, and its loopback network into the file
// "network".
func writeSettings(_ context.Context, args []string) int {
	f := flag.NewFlagSet("settings", flag.ExitOnError)
	dir := f.String("dir", "", "folder")
	entries, runners := f.Int("entries", 3, "entries"), f.Int("runners", 3, "runners")
	_ = f.Parse(args) // exits on an error
	network, ok := freeNetwork()
	if !ok {
		return exitNotRun
	}
	zones := map[string]string{"za": "r", "zb": "r", "zc": "r"}
	names := []string{"za", "zb", "zc"}
	var seeds []string
	for i := range *entries {
		seeds = append(seeds, fmt.Sprintf("%s:%d", entryIP(network, i), portControl))
	}
	write := func(name, class, role, ip, zone, app string) error {
		data, err := json.MarshalIndent(map[string]any{
			"node-name": name, "role": role, "machine-class": class, "ip": ip, "zone": zone, "region": "r", "zones": zones,
			"listen": map[string]string{
				"front": fmt.Sprintf("%s:%d", ip, portFront), "ready": fmt.Sprintf("%s:%d", ip, portReady), "control": fmt.Sprintf("%s:%d", ip, portControl),
			},
			"app": app, "port-range": []int{portPeers, portPeers + 15}, "seeds": seeds, "bootstrap": true, "loss-counts": false,
			"limits":   map[string]any{"cpu-share": 0.4, "cores": 1, "memory-mb": 284, "max-fds": 4100, "link-mbps": 1000.0, "disk-mb": 0},
			"data-dir": nil, "discovery": "local", "entry": "vip", "heartbeat-ms": 1100, "orders": "rpc",
			"bounds": map[string]any{
				"contact-ms": 3000, "ack-ms": 4000, "drain-ms": 2000, "grace-s": 6, "loss-slack-ms": 200, "config-apply-ms": 2000, "max-hold-ms": 6000,
				"stop-grace-ms": 400, "gang-wait-ms": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120,
				"spread-factor": 1.5, "checkpoint-s": 1, "restore-ms": 250, "lease-ms": 3000,
			},
			"platform": map[string]any{
				"address": fmt.Sprintf("%s:%d", storeIP(network), portStore), "form": "log", "writes-per-s": 800, "reads-per-s": 2000, "parts": 12,
				"record-bytes": 262144, "request-bytes": 2097152, "keep_s": 300, "min-ttl-ms": 1000,
			},
		}, "", " ")
		if err != nil {
			return err
		}
		return os.WriteFile(filepath.Join(*dir, name+".json"), data, 0o600)
	}
	for i := range *entries {
		if write(fmt.Sprintf("entry-%d", i), "front", "entry", entryIP(network, i), names[i%3], "") != nil {
			return exitNotRun
		}
	}
	for i := range *runners {
		ip := runnerIP(network, i)
		if write(fmt.Sprintf("agent-%d", i), "side", "agent", ip, names[i%3], fmt.Sprintf("%s:%d", ip, portApp)) != nil {
			return exitNotRun
		}
	}
	if os.WriteFile(filepath.Join(*dir, "network"), []byte(network), 0o600) != nil {
		return exitNotRun
	}
	return exitHeld
}
