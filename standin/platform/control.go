package platform

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"cornelwall"
)

func (p *Platform) routeControl() {
	p.echo.POST("/ctl/vm", p.putVM)
	p.echo.DELETE("/ctl/vm/:name", p.removeVM)
	p.echo.POST("/ctl/vm/:name/leaving", p.markVMLeaving)
	p.echo.POST("/ctl/fault", p.setFault)
	p.echo.POST("/ctl/snapshot", p.snapshot)
	p.echo.POST("/ctl/restore", p.restore)
	p.echo.GET("/ctl/stats", func(c echo.Context) error { return c.JSON(http.StatusOK, p.Stats()) })
}

// PutVM adds or replaces a VM.
func (p *Platform) PutVM(vm cornelwall.VM) { p.machines.put(vm) }

// RemoveVM removes a VM.
func (p *Platform) RemoveVM(name string) { p.machines.remove(name) }

// MarkVMLeaving marks a VM as leaving and reports whether it exists.
func (p *Platform) MarkVMLeaving(name string) bool { return p.machines.markLeaving(name) }

// Stats returns the number of calls of each kind.
func (p *Platform) Stats() Stats { return Stats{Calls: p.faults.stats()} }

// SetFault replaces the current fault and wakes all watches, which end if the service is down.
func (p *Platform) SetFault(fault Fault) {
	if fault.Lag != nil {
		p.machines.setLag(time.Duration(*fault.Lag))
	}
	p.faults.set(fault)
	p.store.mu.Lock()
	defer p.store.mu.Unlock()
	p.store.notify()
}

// Snapshot saves the state of the store for Restore.
func (p *Platform) Snapshot() { p.store.save() }

// Restore resets the store to the last Snapshot and ends all watches.
func (p *Platform) Restore() error { return p.store.restore() }

func (p *Platform) putVM(c echo.Context) error {
	var vm cornelwall.VM
	if err := decode(c, &vm); err != nil {
		return err
	}
	if err := vm.Check(); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	p.PutVM(vm)
	return c.NoContent(http.StatusOK)
}

func (p *Platform) removeVM(c echo.Context) error {
	p.RemoveVM(c.Param("name"))
	return c.NoContent(http.StatusOK)
}

func (p *Platform) markVMLeaving(c echo.Context) error {
	if !p.MarkVMLeaving(c.Param("name")) {
		return echo.NewHTTPError(http.StatusNotFound, "no such machine; see /vms")
	}
	return c.NoContent(http.StatusOK)
}

func (p *Platform) setFault(c echo.Context) error {
	var fault Fault
	if err := decode(c, &fault); err != nil {
		return err
	}
	p.SetFault(fault)
	return c.NoContent(http.StatusOK)
}

func (p *Platform) snapshot(c echo.Context) error {
	p.Snapshot()
	return c.NoContent(http.StatusOK)
}

func (p *Platform) restore(c echo.Context) error {
	if err := p.Restore(); err != nil {
		return echo.NewHTTPError(http.StatusConflict, err.Error())
	}
	return c.NoContent(http.StatusOK)
}
