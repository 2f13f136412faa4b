// Package servermodel models how an endpoint works on requests. Running jobs share the cores; jobs without a slot wait in
// a queue or are rejected. A cold endpoint is slow, and loses its jobs ("falls") when it is overloaded for too long. With
// many jobs an endpoint may become slower ("choke"). The package does no I/O and has no clock: callers pass the time in
// and receive the jobs that are done.
package servermodel

import (
	"container/heap"
	"fmt"
	"math"
	"time"
)

// Conf describes an endpoint.
type Conf struct {
	Cores            float64       // number of jobs that run at full speed at once; if more run, they share the cores
	Speed            float64       // seconds of work that a core does in a second
	Slots            int           // jobs that may run at once
	Queue            int           // jobs that may wait for a slot; more are rejected
	ChokeAbove       int           // with more jobs than this, running and waiting, the speed is multiplied by ChokeTo; 0 for never
	ChokeTo          float64       // above 0, up to 1
	ColdFrom         float64       // part of its capacity that a cold endpoint starts with
	ColdFor          time.Duration // how long a cold endpoint takes until it has its full capacity; 0 for always warm
	OverloadMultiple float64       // a cold endpoint is overloaded while it is sent more than this multiple of its present capacity
	OverloadFor      time.Duration // a cold endpoint that is overloaded for this long loses all its jobs; 0 for never
}

// check validates the configuration.
func (c *Conf) check() error {
	switch {
	case !(c.Cores > 0), !(c.Speed > 0):
		return fmt.Errorf("server model: cores %v, speed %v: not above 0", c.Cores, c.Speed)
	case c.Slots < 1, c.Queue < 0:
		return fmt.Errorf("server model: slots %d, queue %d: slots below 1 or queue below 0", c.Slots, c.Queue)
	case c.ColdFor > 0 && !(c.ColdFrom > 0 && c.ColdFrom <= 1):
		return fmt.Errorf("server model: capacity when cold %v: not above 0 and up to 1", c.ColdFrom)
	}
	return nil
}

// Job is a request that the model works on.
type Job struct {
	Work   time.Duration // duration of the job on a core of its own, at speed 1
	Data   any           // for the caller's use
	finish float64       // value of Server.workPerJob at which the job is done
	index  int           // in running, or -1
	queued bool
}

// Outcome says what Arrive did with a job.
type Outcome uint8

// The outcomes of Arrive.
const (
	Accepted Outcome = iota
	Rejected
)

// Measuring the load of a cold endpoint.
const (
	demandWindow = time.Second           // period over which the work that arrives is measured
	demandParts  = 10                    // number of parts that the period is divided into
	coldUpdate   = 20 * time.Millisecond // how often the speed of a cold endpoint is brought up to date
)

// Server models one endpoint. The times that its methods are given must not decrease.
type Server struct {
	conf        Conf
	now         time.Duration
	startedAt   time.Duration // start, or last time that it was overloaded while cold
	cold        bool
	paused      bool
	speedFactor float64 // factor of its speed, set by SetSpeed
	running     jobs
	queue       []*Job
	workPerJob  float64 // seconds of work that a job which ran since the start would have received by now

	demand          [demandParts]float64 // seconds of work that arrived, by part of the window, the newest first
	demandPartStart time.Duration        // beginning of the newest part
	overloadedSince time.Duration        // since when it has been sent too much; -1 if it is not
	Overloads       int                  // how often it lost its jobs because it was overloaded while cold
}

// New returns a server that starts now, cold or warm.
func New(conf Conf, now time.Duration, cold bool) (*Server, error) {
	if err := conf.check(); err != nil {
		return nil, err
	}
	return &Server{
		conf: conf, now: now, startedAt: now, demandPartStart: now, cold: cold && conf.ColdFor > 0, speedFactor: 1, overloadedSince: -1,
	}, nil
}

// Held returns how many jobs run or wait.
func (s *Server) Held() int { return len(s.running) + len(s.queue) }

// Share returns the part of its full capacity that the server has at present.
func (s *Server) Share() float64 {
	if !s.cold {
		return 1
	}
	elapsed := float64(s.now-s.startedAt) / float64(s.conf.ColdFor)
	return min(1, s.conf.ColdFrom+(1-s.conf.ColdFrom)*elapsed)
}

// rate returns how many seconds of work each running job gets per second.
func (s *Server) rate() float64 {
	n := len(s.running)
	if n == 0 || s.paused {
		return 0
	}
	rate := s.conf.Speed * s.speedFactor * s.Share() * min(1, s.conf.Cores/float64(n))
	if s.conf.ChokeAbove > 0 && s.Held() > s.conf.ChokeAbove {
		rate *= s.conf.ChokeTo
	}
	return rate
}

// advance brings the state up to the given time. Since the last call the running jobs have worked at the present rate.
func (s *Server) advance(now time.Duration) {
	if now <= s.now {
		return
	}
	s.workPerJob += s.rate() * (now - s.now).Seconds()
	s.now = now
	if s.cold && now-s.startedAt >= s.conf.ColdFor {
		s.cold, s.overloadedSince = false, -1
	}
	part := demandWindow / demandParts
	if now-s.demandPartStart >= demandWindow+part {
		s.demand, s.demandPartStart = [demandParts]float64{}, now
	}
	for now-s.demandPartStart >= part {
		copy(s.demand[1:], s.demand[:demandParts-1])
		s.demand[0] = 0
		s.demandPartStart += part
	}
}

// Arrive gives the server a job.
func (s *Server) Arrive(now time.Duration, j *Job) Outcome {
	s.advance(now)
	s.demand[0] += j.Work.Seconds()
	s.trackOverload()
	j.index = -1
	switch {
	case len(s.running) < s.conf.Slots:
		s.start(j)
	case len(s.queue) < s.conf.Queue:
		j.queued = true
		s.queue = append(s.queue, j)
	default:
		return Rejected
	}
	return Accepted
}

// trackOverload records since when a cold server has been sent more work per demandWindow than OverloadMultiple times its present
// capacity.
func (s *Server) trackOverload() {
	if !s.cold || s.conf.OverloadFor <= 0 {
		return
	}
	sent := 0.0
	for _, d := range s.demand {
		sent += d
	}
	capacity := s.conf.Cores * s.conf.Speed * s.Share() * demandWindow.Seconds()
	if sent <= s.conf.OverloadMultiple*capacity {
		s.overloadedSince = -1
	} else if s.overloadedSince < 0 {
		s.overloadedSince = s.now
	}
}

func (s *Server) start(j *Job) {
	j.queued = false
	j.finish = s.workPerJob + j.Work.Seconds()
	heap.Push(&s.running, j)
}

// startQueued starts waiting jobs while there are free slots.
func (s *Server) startQueued() {
	for len(s.queue) > 0 && len(s.running) < s.conf.Slots {
		j := s.queue[0]
		s.queue = s.queue[1:]
		s.start(j)
	}
}

// Cancel removes a job. It returns false if the job is done or was never accepted.
func (s *Server) Cancel(now time.Duration, j *Job) bool {
	s.advance(now)
	if j.queued {
		for i, q := range s.queue {
			if q == j {
				s.queue = append(s.queue[:i:i], s.queue[i+1:]...)
				j.queued = false
				return true
			}
		}
	}
	if j.index < 0 || j.index >= len(s.running) || s.running[j.index] != j {
		return false
	}
	heap.Remove(&s.running, j.index)
	s.startQueued()
	return true
}

// Due returns the jobs that are done by now. If the server has been overloaded for too long while cold, Due sets
// overloaded and also returns all jobs that the server held, unfinished; the server is then as cold as at its start.
func (s *Server) Due(now time.Duration) (jobs []*Job, overloaded bool) {
	for {
		next := s.nextFinish()
		if next > now {
			break
		}
		s.advance(next)
		j := heap.Pop(&s.running).(*Job)
		s.workPerJob = max(s.workPerJob, j.finish) // rounding must not leave the next job unfinished
		jobs = append(jobs, j)
		s.startQueued()
	}
	s.advance(now)
	s.trackOverload()
	if s.overloadedSince < 0 || now-s.overloadedSince < s.conf.OverloadFor {
		return jobs, false
	}
	s.Overloads++
	lost := s.Clear()
	s.startedAt, s.overloadedSince, s.demand = now, -1, [demandParts]float64{}
	return append(jobs, lost...), true
}

// Clear removes and returns all jobs, as when the process dies.
func (s *Server) Clear() []*Job {
	lost := append([]*Job(s.running), s.queue...)
	for _, j := range lost {
		j.index, j.queued = -1, false
	}
	s.running, s.queue = nil, nil
	return lost
}

// Pause stops (true) or resumes (false) all work.
func (s *Server) Pause(now time.Duration, paused bool) {
	s.advance(now)
	s.paused = paused
}

// SetSpeed sets the speed, as a part of the configured speed.
func (s *Server) SetSpeed(now time.Duration, part float64) {
	s.advance(now)
	s.speedFactor = part
}

const never = time.Duration(math.MaxInt64)

// nextFinish returns when the first running job will be done at the present rate.
func (s *Server) nextFinish() time.Duration {
	rate := s.rate()
	if len(s.running) == 0 || rate <= 0 {
		return never
	}
	remaining := max(0, s.running[0].finish-s.workPerJob) / rate
	if remaining > time.Hour.Seconds() {
		return never
	}
	return s.now + time.Duration(math.Ceil(remaining*1e9))
}

// Next returns when Due must be called next; ok is false if nothing will happen.
func (s *Server) Next() (at time.Duration, ok bool) {
	at = s.nextFinish()
	if s.cold && (len(s.running) > 0 || s.overloadedSince >= 0) {
		at = min(at, s.now+coldUpdate)
	}
	return at, at != never
}

// jobs is a heap with the first job to finish on top.
type jobs []*Job

func (h jobs) Len() int           { return len(h) }
func (h jobs) Less(a, b int) bool { return h[a].finish < h[b].finish }
func (h jobs) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].index, h[b].index = a, b
}

func (h *jobs) Push(x any) {
	j := x.(*Job)
	j.index = len(*h)
	*h = append(*h, j)
}

func (h *jobs) Pop() any {
	old := *h
	j := old[len(old)-1]
	*h = old[:len(old)-1]
	j.index = -1
	return j
}
