package node

import (
	"encoding/json"
	"net/http"

	"github.com/stilemast/stilemast/src/status"
)

// StatusPath is the path of a gateway's status on its metrics listener.
const StatusPath = "/status"

// operatorHandler serves the status of a gateway as JSON at StatusPath and its metrics elsewhere.
func operatorHandler(current func() status.Gateway, metrics http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", metrics)
	mux.HandleFunc("GET "+StatusPath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(current())
	})
	return mux
}
