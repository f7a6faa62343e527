package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/go-logr/logr"

	"cornelwall"
)

// ListConfig is the settings of a VMList.
type ListConfig struct {
	URL     string        // of the list, for example "http://10.0.0.1:8080/vms"
	Timeout time.Duration // of one call; 0 is 2 s
	Log     logr.Logger
}

// VMList implements [cornelwall.VMList] by GET of one URL.
type VMList struct {
	cfg  ListConfig
	http *http.Client
}

var _ cornelwall.VMList = (*VMList)(nil)

// NewVMList returns the list at the URL.
func NewVMList(cfg ListConfig) *VMList {
	if cfg.Timeout == 0 {
		cfg.Timeout = defaultTimeout
	}
	return &VMList{cfg: cfg, http: newHTTP(cfg.Timeout)}
}

// Close closes the idle connections.
func (l *VMList) Close() { l.http.CloseIdleConnections() }

// List returns all machines that are live or leaving. A machine that is not valid
// is left out and logged. The error is of kind ErrStore.
func (l *VMList) List(ctx context.Context) ([]cornelwall.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, l.cfg.Timeout)
	defer cancel()
	raw, err := l.get(ctx)
	if err != nil {
		return nil, storeError(l.cfg.URL, err)
	}
	vms := make([]cornelwall.VM, 0, len(raw))
	for i, text := range raw {
		var vm cornelwall.VM
		err := json.Unmarshal(text, &vm)
		if err == nil {
			err = vm.Check()
		}
		if err != nil {
			l.cfg.Log.Info("machine on the VM list is not valid", "index", i, "name", vm.Name, "error", err.Error())
			continue
		}
		vms = append(vms, vm)
	}
	return vms, nil
}

func (l *VMList) get(ctx context.Context) ([]json.RawMessage, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, l.cfg.URL, nil)
	if err != nil {
		return nil, err
	}
	resp, err := l.http.Do(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", resp.StatusCode)
	}
	var list struct {
		VMs []json.RawMessage `json:"vms"`
	}
	err = decode(resp.Body, maxAnswer, &list)
	return list.VMs, err
}
