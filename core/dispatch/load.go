package dispatch

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"cornelwall"
	"cornelwall/core/policy"
)

const (
	loadInterval       = 100 * time.Millisecond // between two load reports to a peer
	loadCacheTime      = 20 * time.Millisecond  // for which computed figures are used again
	loadBoundsInterval = time.Second            // between two computations of loadBounds
	minDemand          = 0.01                   // in cores; a smaller demand counts as none
	maxLoadServices    = 4                      // in a report; those with the greatest demand
	maxLoadDigests     = 16                     // in a report, and kept
)

// loadState is what is known of the demand and the capacity of the fleet.
type loadState struct {
	demand        map[string]*[cornelwall.FreeCapacityClasses]policy.MovingRate // of the callers of this entry, by service
	demandHeardAt time.Time                                                     // when a peer last reported demand of its own
	digests       []loadDigest                                                  // best ones heard, by data centre and service
	bounds        loadBounds
	current       map[string]cachedLoad // results of serviceLoad
	report        *cornelwall.LoadReport
	reportAt      time.Time                    // when report was made
	retries       map[string]*policy.RetryPlan // of refused callers, by service
}

// loadDigest is a sum over entries of one data centre.
type loadDigest struct {
	centre, service string
	sum             policy.LoadSum
}

func (d *loadDigest) compare(o *loadDigest) int {
	return cmp.Or(cmp.Compare(d.centre, o.centre), cmp.Compare(d.service, o.service))
}

// peerLoad is what a peer has reported of its own demand and capacity for a service.
type peerLoad struct {
	service string
	sum     policy.LoadSum
}

// cachedLoad is a result of serviceLoad.
type cachedLoad struct {
	at   time.Time // when it was computed
	load policy.ServiceLoad
}

func newLoadState() loadState {
	return loadState{
		demand:  map[string]*[cornelwall.FreeCapacityClasses]policy.MovingRate{},
		current: map[string]cachedLoad{},
		retries: map[string]*policy.RetryPlan{},
	}
}

// noteDemand counts a batch that has arrived, whether it is accepted or not.
func (c *Core) noteDemand(j *job) {
	d := c.load.demand[j.queue.Service]
	if d == nil {
		d = new([cornelwall.FreeCapacityClasses]policy.MovingRate)
		c.load.demand[j.queue.Service] = d
	}
	d[policy.Class(j.queue.Priority)].Add(c.now, j.work())
}

// work returns the work of all tasks of a job, in cores times seconds.
func (j *job) work() float64 {
	sum := 0.0
	for i := range j.batch.Steps {
		s := &j.batch.Steps[i]
		estimate := j.estimate(i)
		if estimate <= 0 {
			estimate = defaultEstimate
		}
		sum += float64(s.Count) * float64(s.Need.Cores) / 1000 * estimate.Seconds()
	}
	return sum
}

// ownLoad returns the demand and the capacity of this entry.
func (c *Core) ownLoad(service string) policy.LoadSum {
	s := policy.LoadSum{Entries: 1, ReportedAt: c.now}
	if d := c.load.demand[service]; d != nil {
		for k := range d {
			s.Demand[k] = d[k].At(c.now)
		}
	}
	if c.isStopping() {
		return s
	}
	for _, ep := range c.held() {
		if ep.Service == service && c.countsAsCapacity(ep.lease) {
			s.Capacity += float64(ep.Capacity.Cores) / 1000
		}
	}
	return s
}

// serviceLoad returns the load of a service over all entries with recent reports. The result is kept for
// loadCacheTime, as each batch that arrives asks for it.
func (c *Core) serviceLoad(service string) policy.ServiceLoad {
	cached, ok := c.load.current[service]
	if ok && c.now.Sub(cached.at) < loadCacheTime {
		return cached.load
	}
	own := c.ownLoad(service)
	digests := c.centreLoads(service, &own, policy.MaxLoadAge)
	sums := make([]policy.LoadSum, len(digests))
	for i := range digests {
		sums[i] = digests[i].sum
	}
	load := policy.NewServiceLoad(c.now, &own, sums, len(c.ranking.all))
	if _, known := c.load.demand[service]; known {
		c.load.current[service] = cachedLoad{c.now, load}
	}
	return load
}

// centreLoads returns the best sum for each data centre: over the reports of its entries that are at most as old as
// maxAge, or a digest of another entry. The first is that of this entry's own data centre.
func (c *Core) centreLoads(service string, own *policy.LoadSum, maxAge time.Duration) []loadDigest {
	sums := make([]loadDigest, 1, len(c.ranking.byCentre)+1)
	sums[0] = loadDigest{centre: c.cfg.Self.DataCentre, service: service, sum: *own}
	sumOf := func(centre string) *policy.LoadSum {
		for i := range sums {
			if sums[i].centre == centre {
				return &sums[i].sum
			}
		}
		sums = append(sums, loadDigest{centre: centre, service: service})
		return &sums[len(sums)-1].sum
	}
	for _, p := range c.links {
		if p.dead {
			continue
		}
		for i := range p.load {
			if l := &p.load[i]; l.service == service && l.sum.IsFresh(c.now, maxAge) {
				sumOf(p.id.DataCentre).Add(&l.sum)
			}
		}
	}
	for i := range c.load.digests {
		if d := &c.load.digests[i]; d.service == service && d.sum.IsFresh(c.now, policy.MaxLoadAge) {
			if sum := sumOf(d.centre); d.sum.Better(sum) {
				*sum = d.sum
			}
		}
	}
	return sums
}

// loadServices returns the services that this entry has demand or endpoints for, those with the greatest demand first.
func (c *Core) loadServices() []string {
	demand := map[string]float64{}
	for service, d := range c.load.demand {
		for k := range d {
			demand[service] += d[k].At(c.now)
		}
	}
	for _, ep := range c.held() {
		demand[ep.Service] += 0
	}
	list := slices.SortedFunc(maps.Keys(demand), func(a, b string) int {
		return cmp.Or(cmp.Compare(demand[b], demand[a]), cmp.Compare(a, b))
	})
	return list[:min(len(list), maxLoadServices)]
}

// hasDemand reports whether callers of this entry ask for cores.
func (c *Core) hasDemand() bool {
	for _, d := range c.load.demand {
		for k := range d {
			if d[k].At(c.now) >= minDemand {
				return true
			}
		}
	}
	return false
}

// takeLoadReport returns the load report for the next heartbeat to a peer, or nil if none is due, there
// is nothing to report, or this entry does not shed load.
func (c *Core) takeLoadReport(p *peer) *cornelwall.LoadReport {
	if !c.cfg.Shed || c.now.Sub(p.loadSentAt) < loadInterval || !c.hasLoadToReport() {
		return nil
	}
	p.loadSentAt = c.now
	if c.load.report == nil || c.now.Sub(c.load.reportAt) >= loadCacheTime {
		c.load.report, c.load.reportAt = c.loadReport(), c.now
	}
	return c.load.report
}

// hasLoadToReport reports whether there are runs here, or demand here or at a peer. Digests alone don't count,
// as entries would keep each other reporting.
func (c *Core) hasLoadToReport() bool {
	return len(c.runs) > 0 || c.now.Sub(c.load.demandHeardAt) <= policy.MaxLoadAge || c.hasDemand()
}

// loadReport returns what this entry knows of the load.
func (c *Core) loadReport() *cornelwall.LoadReport {
	r := &cornelwall.LoadReport{}
	for _, service := range c.loadServices() {
		own := c.ownLoad(service)
		r.Own = append(r.Own, own.Figures(service))
		for _, d := range c.centreLoads(service, &own, policy.MaxDigestAge) {
			isOwn := d.centre == c.cfg.Self.DataCentre && d.sum.Entries == 1 // as in r.Own
			if len(r.Centres) < maxLoadDigests && d.sum.Entries > 0 && !isOwn {
				r.Centres = append(r.Centres, cornelwall.CentreFigures{
					ServiceFigures: d.sum.Figures(service), DataCentre: d.centre, Entries: d.sum.Entries,
					Age: c.now.Sub(d.sum.ReportedAt).Truncate(time.Millisecond),
				})
			}
		}
	}
	return r
}

// handleLoadReport keeps the load report of a peer. Figures that exceed their bounds are reduced to them, and the
// digests of that report are dropped.
func (c *Core) handleLoadReport(p *peer, r *cornelwall.LoadReport) {
	if r == nil {
		return
	}
	c.updateLoadBounds()
	trusted := true
	p.load = p.load[:0]
	for i := range r.Own[:min(len(r.Own), maxLoadServices)] {
		f := &r.Own[i]
		sum, bound := policy.NewLoadSum(f, c.now), c.load.bounds.ofEntry(p, f.Service)
		if bound.Capacity == 0 {
			continue // no endpoint of the service is known here, which is not the sender's fault
		}
		if sum.Exceeds(bound) {
			trusted = false
			sum.Limit(bound)
		}
		if slices.ContainsFunc(p.load, func(l peerLoad) bool { return l.service == f.Service }) {
			continue
		}
		p.load = append(p.load, peerLoad{f.Service, sum})
		if sum.Demand.Total() >= minDemand {
			c.load.demandHeardAt = c.now
		}
	}
	for i := range r.Centres {
		if trusted {
			c.keepDigest(&r.Centres[i])
		}
	}
}

// keepDigest keeps a digest that has arrived if it is plausible and better than the one kept.
func (c *Core) keepDigest(f *cornelwall.CentreFigures) {
	d := loadDigest{f.DataCentre, f.Service, policy.NewDigest(f, c.now)}
	if f.Age < 0 || !d.sum.IsFresh(c.now, policy.MaxLoadAge) || d.sum.Exceeds(policy.DigestBound(len(c.ranking.byCentre[f.DataCentre]), c.load.bounds.all[f.Service])) {
		return
	}
	i, found := slices.BinarySearchFunc(c.load.digests, &d, func(a loadDigest, b *loadDigest) int { return a.compare(b) })
	if found {
		if old := &c.load.digests[i].sum; !old.IsFresh(c.now, policy.MaxLoadAge) || d.sum.Better(old) {
			*old = d.sum
		}
		return
	}
	if len(c.load.digests) < maxLoadDigests {
		c.load.digests = slices.Insert(c.load.digests, i, d)
	}
}

// loadBounds holds the sums that plausible reports are derived from.
type loadBounds struct {
	at            time.Time             // when they were computed
	all           map[string]float64    // listed capacity in cores, by service
	inCentre      map[[2]string]float64 // the same, by data centre and service
	weight        int                   // of all entries
	centreWeights map[string]int        // of the entries of a data centre
}

// updateLoadBounds computes the bounds again if that is due, and drops old digests, cached results and demand that
// has ended.
func (c *Core) updateLoadBounds() {
	if c.now.Sub(c.load.bounds.at) < loadBoundsInterval {
		return
	}
	b := loadBounds{at: c.now, all: map[string]float64{}, inCentre: map[[2]string]float64{}, centreWeights: map[string]int{}}
	for _, ep := range c.endpointsByName {
		cores := float64(ep.Capacity.Cores) / 1000
		b.all[ep.Service] += cores
		b.inCentre[[2]string{ep.DataCentre, ep.Service}] += cores
	}
	for _, m := range c.ranking.all {
		b.weight += m.weight
		b.centreWeights[m.id.DataCentre] += m.weight
	}
	c.load.bounds = b
	c.load.digests = slices.DeleteFunc(c.load.digests, func(d loadDigest) bool { return !d.sum.IsFresh(c.now, policy.MaxLoadAge) })
	clear(c.load.current)
	maps.DeleteFunc(c.load.demand, func(_ string, d *[cornelwall.FreeCapacityClasses]policy.MovingRate) bool {
		return !slices.ContainsFunc(d[:], func(r policy.MovingRate) bool { return r.At(c.now) >= minDemand/1000 })
	})
}

// ofEntry returns the bound of a peer's figures for a service.
func (b *loadBounds) ofEntry(p *peer, service string) policy.LoadBound {
	share := func(total int) float64 { return float64(p.weight) / float64(max(total, p.weight)) }
	return policy.EntryBound(share(b.centreWeights[p.id.DataCentre]), share(b.weight), b.inCentre[[2]string{p.id.DataCentre, service}], b.all[service])
}

// serviceStatus returns the load of each service for the status of this entry, in the order of loadServices.
func (c *Core) serviceStatus() []cornelwall.ServiceStatus {
	var list []cornelwall.ServiceStatus
	for _, service := range c.loadServices() {
		l := c.serviceLoad(service)
		list = append(list, cornelwall.ServiceStatus{Service: service, Demand: l.Demand.Total(), Capacity: l.Capacity, Entries: l.Entries, Age: l.Age})
	}
	return list
}

// loadPairs returns the key-value pairs with the load of each service for the log line load, in the order of
// loadServices.
func (c *Core) loadPairs() []any {
	var demand, capacity, entries, age []string
	for _, service := range c.loadServices() {
		l := c.serviceLoad(service)
		classes := make([]string, len(l.Demand))
		for k, v := range l.Demand {
			classes[k] = fmt.Sprintf("%.1f", v)
		}
		demand = append(demand, service+":"+strings.Join(classes, "/"))
		capacity = append(capacity, fmt.Sprintf("%s:%.1f", service, l.Capacity))
		entries = append(entries, fmt.Sprintf("%s:%d/%d", service, l.Entries, l.Members))
		age = append(age, fmt.Sprintf("%s:%s", service, l.Age.Round(time.Millisecond)))
	}
	join := func(list []string) string { return strings.Join(list, ",") }
	return []any{"demand", join(demand), "capacity", join(capacity), "entries", join(entries), "age", join(age)}
}
