package serve

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/instance"
)

// httpShutdownTimeout is how long pending HTTP calls of operators and other instances may take while the instance stops.
const httpShutdownTimeout = time.Second

// run serves until ctx is cancelled, and then stops after the pending requests have ended.
func (p *process) run(ctx context.Context, out io.Writer) error {
	runCtx, stopRunning := context.WithCancel(context.WithoutCancel(ctx))
	defer stopRunning()
	// The timer service stops last, because the other components use it to limit the time they take to stop.
	timerCtx, stopTimer := context.WithCancel(context.WithoutCancel(ctx))
	var timerRunning sync.WaitGroup
	timerRunning.Go(func() { p.timer.Run(timerCtx) })
	defer timerRunning.Wait()
	defer stopTimer()
	var running sync.WaitGroup
	for _, run := range []func(context.Context){
		p.follower.Run, p.editor.Run, p.sectionGC.Run, p.limitManager.Run, p.groups.Run, p.pool.Run,
		p.router.Run,
	} {
		running.Go(func() { run(runCtx) })
	}
	peers := p.peerServer.HTTPServer()
	operators := p.adminServer.HTTPServer()
	running.Go(func() { p.serveHTTP("peers", peers, p.peerSocket) })
	running.Go(func() { p.serveHTTP("admin", operators, p.adminSocket) })
	if err := p.subscribe(runCtx); err != nil {
		return err
	}
	running.Go(func() { p.serveClients(runCtx) })
	if err := p.printAddresses(out); err != nil {
		return err
	}
	<-ctx.Done()
	p.drain(runCtx)
	shutdownHTTP(runCtx, peers, operators)
	stopRunning()
	running.Wait()
	p.log.Named("instance").Info("stopped")
	return nil
}

// subscribe registers the components that receive each document and each list of instances.
func (p *process) subscribe(ctx context.Context) error {
	for _, deliver := range []func(document.Document){
		p.limitManager.SetDocument, p.pool.SetDocument, p.groups.SetDocument, p.router.SetDocument,
	} {
		if err := p.follower.Subscribe(ctx, deliver); err != nil {
			return err
		}
	}
	for _, deliver := range []func(instance.List){p.router.SetList, p.groups.SetList} {
		if err := p.follower.SubscribeList(ctx, deliver); err != nil {
			return err
		}
	}
	return nil
}

func (p *process) printAddresses(out io.Writer) error {
	_, err := fmt.Fprintf(out, "instance %s listens on %s for callers, %s for instances, %s for operators\n",
		p.self.Incarnation, p.clientSocket.Addr(), p.peerSocket.Addr(), p.adminSocket.Addr())
	return err
}

func (p *process) serveClients(ctx context.Context) {
	if err := p.listener.Serve(ctx, p.clientSocket); err != nil {
		p.log.Named("callers").Error("listener stopped", zap.Error(err))
	}
}

func (p *process) serveHTTP(name string, server *http.Server, socket net.Listener) {
	if err := server.Serve(socket); !errors.Is(err, http.ErrServerClosed) {
		p.log.Named(name).Error("listener stopped", zap.Error(err))
	}
}

func (p *process) drain(ctx context.Context) {
	p.log.Named("instance").Info("stopping after the pending requests")
	p.adminServer.SetStopping()
	if err := p.listener.Stop(ctx); err != nil {
		p.log.Named("callers").Warn("clients were disconnected before their requests ended", zap.Error(err))
	}
}

func shutdownHTTP(ctx context.Context, servers ...*http.Server) {
	ctx, cancel := context.WithTimeout(ctx, httpShutdownTimeout)
	defer cancel()
	for _, server := range servers {
		if server.Shutdown(ctx) != nil {
			_ = server.Close()
		}
	}
}
