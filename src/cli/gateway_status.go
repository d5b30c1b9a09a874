package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/stilemast/stilemast/src/node"
	"github.com/stilemast/stilemast/src/status"
)

// statusTimeout bounds the request for a gateway's status.
const statusTimeout = 5 * time.Second

// showGatewayStatus prints the state of the gateway with the given metrics address.
func showGatewayStatus(ctx context.Context, address string, asJSON bool) error {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	resp, err := httpc.Do(ctx, http.MethodGet, "http://"+address+node.StatusPath, nil)
	if err != nil {
		return eris.Wrap(err, "gateway")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("gateway: status %s", resp.Status)
	}
	var s status.Gateway
	if err := json.NewDecoder(resp.Body).Decode(&s); err != nil {
		return eris.Wrap(err, "gateway")
	}
	if asJSON {
		e := json.NewEncoder(os.Stdout)
		e.SetIndent("", "  ")
		return e.Encode(s)
	}
	return printGatewayStatus(s)
}

func printGatewayStatus(s status.Gateway) error {
	fmt.Printf("box %s: draining %t, running %d, %d boxes\n", s.Box, s.Draining, s.Running, s.Members)
	fmt.Printf("configuration %d, confirmed %d ms ago\n\n", s.Version, s.ConfirmedAge)
	r := s.Returning
	fmt.Printf("callers: refused %d, promised %d, returned %d (early %d); queries without an answer %d of %d\n", r.Refused, r.Promised, r.Returned, r.Early, r.Unanswered, r.Queries)
	fmt.Printf("writes to callers: %d open, %d bytes held, %d cut off\n", s.Writes.Open, s.Writes.Held, s.Writes.Cut)
	b := s.Bodies
	fmt.Printf("bodies of callers: %d bytes held, %d coming, %d waiting; refused %d, evicted %d, late %d\n", b.Held, b.Coming, b.Waiting, b.Refused, b.Evicted, b.Late)
	fmt.Printf("whole answers: %d bytes held, %d coming, %d waiting\n", s.Answers.Held, s.Answers.Coming, s.Answers.Waiting)
	for _, port := range slices.Sorted(maps.Keys(s.Ports)) {
		p := s.Ports[port]
		fmt.Printf("unknown clients of %s: %d connections, %d closed for others\n", port, p.Open, p.Closed)
	}
	fmt.Println()
	w := table()
	fmt.Fprintln(w, "POOL\tSERVERS\tCONTENDED\tWAIT\tCONNECTIONS\tSLOW/USUAL/FAST\tOVERDUE CALLS")
	for _, p := range s.Pools {
		speeds, overdue := "-", "-"
		if p.Speeds != nil {
			n := p.Speeds.Count()
			speeds = fmt.Sprintf("%d/%d/%d", n.Slow, n.Usual, n.Fast)
		}
		if p.Overdue != nil {
			overdue = fmt.Sprint(p.Overdue.Calls)
		}
		fmt.Fprintf(w, "%s\t%d\t%t\t%d ms\t%d\t%s\t%s\n", p.Pool, p.Servers, p.Contended, p.Wait, p.Connections.Open, speeds, overdue)
	}
	fmt.Fprintln(w, "\nPIPELINE\tCLASS\tOBSERVED/FORECAST\tSPREAD\tOBSERVATIONS")
	for _, f := range s.Forecasts {
		fmt.Fprintf(w, "%s\t%d\t%.2f\t%.2f\t%.0f\n", f.Pipeline, f.Kind, f.Ratio, f.Spread, f.Known)
	}
	return w.Flush()
}
