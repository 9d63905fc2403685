package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/signal"
	"runtime"
	"strings"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"dykering/internal/commandline"
)

// statsFileVariable is the environment variable with the path of the file to which a process writes its statistics on SIGUSR2.
const statsFileVariable = "DYKERING_LAB_STATS"

// writeStats starts a goroutine that writes the allocation statistics of this process on each SIGUSR2. It does nothing if the
// environment variable is not set.
func writeStats() {
	path := os.Getenv(statsFileVariable)
	if path == "" {
		return
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR2)
	go func() { // runs until the process exits
		for n := 1; ; n++ {
			<-signals
			var m runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&m)
			text, err := json.Marshal(stats{n, m.Mallocs, m.TotalAlloc, m.HeapInuse + m.StackInuse})
			if err == nil {
				err = errors.Join(os.WriteFile(path+".new", text, 0o600), os.Rename(path+".new", path))
			}
			if err != nil {
				fmt.Fprintln(os.Stderr, err)
			}
		}
	}()
}

// stats holds the total allocations of a process and its memory in use after a garbage collection.
type stats struct {
	N       int
	Mallocs uint64
	Bytes   uint64
	InUse   uint64
}

// newReverseProxy returns the hidden command of the comparison: the standard library's reverse proxy with random choice.
func newReverseProxy() *cli.Command {
	return &cli.Command{Name: "reverse-proxy", ArgsUsage: "TARGETS", Hidden: true, Action: commandline.Args(1, 1, func(_ context.Context, _ *cli.Command, args []string) error {
		writeStats()
		runtime.GOMAXPROCS(1) // like the broker with one core
		targets := strings.Split(args[0], ",")
		l, err := net.FileListener(os.NewFile(3, "socket"))
		if err != nil {
			return err
		}
		go func() {
			ready := &http.Server{
				Addr: os.Getenv("BALANCER_CONTROL"), Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}),
				ReadHeaderTimeout: time.Second,
			}
			if err := ready.ListenAndServe(); err != nil {
				fmt.Fprintln(os.Stderr, err)
			}
		}()
		proxy := &httputil.ReverseProxy{
			Transport: &http.Transport{MaxIdleConnsPerHost: 1024},
			Rewrite: func(r *httputil.ProxyRequest) {
				r.SetURL(&url.URL{Scheme: "http", Host: targets[rand.IntN(len(targets))]})
			},
		}
		web := &http.Server{Handler: proxy, ReadHeaderTimeout: 5 * time.Second}
		return web.Serve(l) // serves until the process is killed
	})}
}
