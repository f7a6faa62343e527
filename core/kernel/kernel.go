// Package kernel runs the services of a process and is the registry in which they find each
// other by name.
//
// Services are stopped one at a time, in reverse order of registration, so that each can use
// those registered before it until it has stopped itself.
//
// # Usage
//
//	k := kernel.New(log)
//	k.Add(cornelwall.ServiceControl, loop)
//	loop, err := kernel.Find[*control.Loop](k, cornelwall.ServiceControl)
//	err = k.Run(ctx)
package kernel

import (
	"context"
	"fmt"
	"slices"

	"github.com/go-logr/logr"
	"github.com/oklog/run"
)

// Service is a component of the process that runs until its context ends. Run must not return
// before all goroutines of the service have ended.
type Service interface {
	Run(ctx context.Context) error
}

// Kernel is a registry of services by name.
type Kernel struct {
	log      logr.Logger
	services map[string]Service
	order    []string
	done     chan struct{}
}

// New returns a kernel without services.
func New(log logr.Logger) *Kernel {
	return &Kernel{log: log, services: map[string]Service{}, done: make(chan struct{})}
}

// Add registers a service. It panics if the name is already registered, which is a programming
// error because names are constants.
func (k *Kernel) Add(name string, s Service) {
	if _, ok := k.services[name]; ok {
		panic(fmt.Sprintf("service %q is registered twice", name))
	}
	k.services[name] = s
	k.order = append(k.order, name)
}

// Find returns the service with the given name. It returns an error if there is none or if it
// is not a T.
func Find[T any](k *Kernel, name string) (T, error) {
	s, ok := k.services[name]
	if !ok {
		var zero T
		return zero, fmt.Errorf("service %q is not registered; add it before the services that use it", name)
	}
	t, ok := s.(T)
	if !ok {
		var zero T
		return zero, fmt.Errorf("service %q is a %T, not a %T; check the name", name, s, zero)
	}
	return t, nil
}

// Run runs all services until ctx ends or one of them returns. It then stops the others, the one
// registered last first.
func (k *Kernel) Run(ctx context.Context) error {
	defer close(k.done)
	var g run.Group
	groupCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	g.Add(func() error { <-groupCtx.Done(); return nil }, func(error) { cancel() })
	for _, name := range slices.Backward(k.order) {
		serviceCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
		s := k.services[name]
		ended := make(chan struct{})
		g.Add(func() error {
			defer close(ended)
			err := s.Run(serviceCtx)
			k.log.V(1).Info("service-ended", "service", name, "err", err)
			if err != nil {
				return fmt.Errorf("service %s: %w", name, err)
			}
			return nil
		}, func(error) {
			stop()
			<-ended
		})
	}
	return g.Run()
}

// Done is closed once Run has returned.
func (k *Kernel) Done() <-chan struct{} { return k.done }
