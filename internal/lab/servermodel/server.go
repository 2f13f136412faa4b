// Package servermodel models how an endpoint works off what it is given: cores shared
// by what runs, slots, a queue, a cold start, choking, falling over when pushed. It
// does no I/O and has no clock: time and jobs come in, and what is done goes out.
package servermodel

import (
	"container/heap"
	"fmt"
	"math"
	"time"
)

// Conf says how an endpoint works.
type Conf struct {
	Cores        float64       // so many jobs run at full speed; more share them
	Speed        float64       // work done in a second by a core, in seconds of work
	Slots        int           // jobs that run at once
	Queue        int           // jobs that wait for a slot; more are turned away
	ChokeAbove   int           // with more jobs than this it works at ChokeTo; 0 for never
	ChokeTo      float64       // part of its speed
	ColdFrom     float64       // part of its capacity that a cold one begins with
	ColdFor      time.Duration // and until when it has all of it; 0 for always warm
	FallMultiple float64       // a cold one that is sent more than so many times its present capacity
	FallFor      time.Duration // for so long falls over; 0 for never
}

// check is what New turns down.
func (c *Conf) check() error {
	switch {
	case !(c.Cores > 0), !(c.Speed > 0):
		return fmt.Errorf("station: cores %v, speed %v: not above 0", c.Cores, c.Speed)
	case c.Slots < 1, c.Queue < 0:
		return fmt.Errorf("station: slots %d, queue %d: below 1 and 0", c.Slots, c.Queue)
	case c.ColdFor > 0 && !(c.ColdFrom > 0 && c.ColdFrom <= 1):
		return fmt.Errorf("station: cold from %v: not within 0 and 1", c.ColdFrom)
	}
	return nil
}

// Job is a request at work.
type Job struct {
	Work   time.Duration // at full speed
	Data   any           // the caller's
	finish float64       // in the work of one running job, in seconds
	index  int           // in running, or -1
	queued bool
}

// Outcome is what has become of a job that was given.
type Outcome uint8

// The outcomes of Arrive.
const (
	Accepted Outcome = iota
	Rejected
)

const (
	demandWindow = time.Second           // over which what it is sent is measured, for falls
	demandParts  = 10                    // parts of that span
	coldUpdate   = 20 * time.Millisecond // how often the speed of a cold one is brought up
)

// Server is one endpoint at work. Times are any that only grow.
type Server struct {
	conf        Conf
	now         time.Duration
	startedAt   time.Duration // its start
	cold        bool
	paused      bool
	speedFactor float64 // part of its speed that is left
	running     jobs
	queue       []*Job
	workPerJob  float64 // work that each running job has had so far, in seconds

	demand          [demandParts]float64 // work that came, by parts of the span, in seconds
	demandPartStart time.Duration        // when the newest part began
	overloadedSince time.Duration        // too much has come since; -1 for not
	Overloads       int                  // how often it fell over
}

// New returns a station that starts now, cold or warm.
func New(conf Conf, now time.Duration, cold bool) (*Server, error) {
	if err := conf.check(); err != nil {
		return nil, err
	}
	return &Server{
		conf: conf, now: now, startedAt: now, demandPartStart: now, cold: cold && conf.ColdFor > 0, speedFactor: 1, overloadedSince: -1,
	}, nil
}

// Held is how many jobs run or wait.
func (s *Server) Held() int { return len(s.running) + len(s.queue) }

// Share is the part of its capacity that it has by now.
func (s *Server) Share() float64 {
	if !s.cold {
		return 1
	}
	elapsed := float64(s.now-s.startedAt) / float64(s.conf.ColdFor)
	return min(1, s.conf.ColdFrom+(1-s.conf.ColdFrom)*elapsed)
}

// rate is the work that each running job gets in a second, in seconds.
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

// advance brings it to the present.
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

// Arrive gives it a job.
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

// trackOverload notices since when a cold one is sent too much.
func (s *Server) trackOverload() {
	if !s.cold || s.conf.FallFor <= 0 {
		return
	}
	sent := 0.0
	for _, d := range s.demand {
		sent += d
	}
	capacity := s.conf.Cores * s.conf.Speed * s.Share() * demandWindow.Seconds()
	if sent <= s.conf.FallMultiple*capacity {
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

func (s *Server) startQueued() {
	for len(s.queue) > 0 && len(s.running) < s.conf.Slots {
		j := s.queue[0]
		s.queue = s.queue[1:]
		s.start(j)
	}
}

// Cancel takes a job back; false if it was done, or never taken.
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

// Due returns the jobs that are done by now. One that falls over hands back all
// that it held, with fell set: none of it is done. It is as cold as at its start
// then.
func (s *Server) Due(now time.Duration) (jobs []*Job, overloaded bool) {
	for {
		next := s.nextFinish()
		if next > now {
			break
		}
		s.advance(next)
		j := heap.Pop(&s.running).(*Job)
		s.workPerJob = max(s.workPerJob, j.finish) // rounding must not make it wait for nothing
		jobs = append(jobs, j)
		s.startQueued()
	}
	s.advance(now)
	s.trackOverload()
	if s.overloadedSince < 0 || now-s.overloadedSince < s.conf.FallFor {
		return jobs, false
	}
	s.Overloads++
	lost := s.Clear()
	s.startedAt, s.overloadedSince, s.demand = now, -1, [demandParts]float64{}
	return append(jobs, lost...), true
}

// Clear takes all jobs away: the process has died.
func (s *Server) Clear() []*Job {
	lost := append([]*Job(s.running), s.queue...)
	for _, j := range lost {
		j.index, j.queued = -1, false
	}
	s.running, s.queue = nil, nil
	return lost
}

// Pause stops or resumes all work.
func (s *Server) Pause(now time.Duration, paused bool) {
	s.advance(now)
	s.paused = paused
}

// SetSpeed sets the part of its speed that is left.
func (s *Server) SetSpeed(now time.Duration, part float64) {
	s.advance(now)
	s.speedFactor = part
}

const never = time.Duration(math.MaxInt64)

// nextFinish is when the first running job is done at the present rate.
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

// Next is when Due must be called; ok is false when nothing is to come.
func (s *Server) Next() (at time.Duration, ok bool) {
	at = s.nextFinish()
	if s.cold && (len(s.running) > 0 || s.overloadedSince >= 0) {
		at = min(at, s.now+coldUpdate)
	}
	return at, at != never
}

// jobs are a heap, the first to finish on top.
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
