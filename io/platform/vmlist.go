package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"cornelwall"
)

// VMListConfig holds the settings of a VMList.
type VMListConfig struct {
	URL     string        // of the list, for example "http://10.0.0.1:8080/vms"
	Timeout time.Duration // of one call; 0 is 2 s
	Log     logr.Logger
}

// VMList implements [cornelwall.VMList] by a GET of one URL. It sends the ETag of the list that
// it has, so that an unchanged list is not transferred again.
type VMList struct {
	cfg  VMListConfig
	http *http.Client

	mu   sync.Mutex
	etag string // of vms; empty if none is known
	vms  []cornelwall.VM
}

var _ cornelwall.VMList = (*VMList)(nil)

// NewVMList returns a client of the list at the URL.
func NewVMList(cfg VMListConfig) *VMList {
	if cfg.Timeout == 0 {
		cfg.Timeout = defaultTimeout
	}
	return &VMList{cfg: cfg, http: newHTTP(cfg.Timeout)}
}

// Close closes the idle connections.
func (l *VMList) Close() { l.http.CloseIdleConnections() }

// List returns all machines that are live or leaving; the caller must not change the slice. A
// machine that is not valid is left out and logged. The error is of kind ErrStore.
func (l *VMList) List(ctx context.Context) ([]cornelwall.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, l.cfg.Timeout)
	defer cancel()
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.refresh(ctx); err != nil {
		return nil, storeError(l.cfg.URL, err)
	}
	return l.vms, nil
}

// refresh updates the list if it has changed. The caller holds mu.
func (l *VMList) refresh(ctx context.Context) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, l.cfg.URL, nil)
	if err != nil {
		return err
	}
	if l.etag != "" {
		r.Header.Set("If-None-Match", l.etag)
	}
	resp, err := l.http.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	switch {
	case resp.StatusCode == http.StatusNotModified && l.etag != "":
		return nil
	case resp.StatusCode != http.StatusOK:
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	var list struct {
		VMs []json.RawMessage `json:"vms"`
	}
	if err := decodeJSON(resp.Body, maxResponse, &list); err != nil {
		return err
	}
	l.vms = l.decodeVMs(list.VMs)
	l.etag = resp.Header.Get("ETag")
	return nil
}

// decodeVMs returns the valid machines and logs the others.
func (l *VMList) decodeVMs(raw []json.RawMessage) []cornelwall.VM {
	vms := make([]cornelwall.VM, 0, len(raw))
	for i, text := range raw {
		var vm cornelwall.VM
		err := json.Unmarshal(text, &vm)
		if err == nil {
			err = vm.Check()
		}
		if err != nil {
			l.cfg.Log.Info("machine-invalid", "index", i, "name", vm.Name, "error", err.Error())
			continue
		}
		vms = append(vms, vm)
	}
	return vms
}
