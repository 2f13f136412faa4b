package servermodel

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

func newServer(t testing.TB, c Conf, cold bool) *Server {
	t.Helper()
	s, err := New(c, 0, cold)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// runToEnd runs a server until nothing is left to do, and returns when each job ended.
func runToEnd(s *Server) map[*Job]time.Duration {
	ended := map[*Job]time.Duration{}
	for {
		at, ok := s.Next()
		if !ok {
			return ended
		}
		done, _ := s.Due(at)
		for _, j := range done {
			ended[j] = at
		}
	}
}

func TestCoresAreShared(t *testing.T) {
	s := newServer(t, Conf{Cores: 2, Speed: 1, Slots: 4, Queue: 1}, false)
	jobs := make([]*Job, 6)
	for i := range jobs {
		jobs[i] = &Job{Work: 10 * ms}
		want := Accepted
		if i == 5 {
			want = Rejected
		}
		if got := s.Arrive(0, jobs[i]); got != want {
			t.Fatalf("job %d: %v", i, got)
		}
	}
	ended := runToEnd(s)
	for i, want := range []time.Duration{20 * ms, 20 * ms, 20 * ms, 20 * ms, 30 * ms} {
		if got := ended[jobs[i]].Round(ms / 10); got != want {
			t.Errorf("job %d ended at %v, want %v", i, got, want)
		}
	}
}

func TestPauseSlowAndChoke(t *testing.T) {
	s := newServer(t, Conf{Cores: 4, Speed: 1, Slots: 4, ChokeAbove: 2, ChokeTo: 0.5}, false)
	j := &Job{Work: 10 * ms}
	s.Arrive(0, j)
	s.Pause(2*ms, true)
	s.Pause(100*ms, false)
	s.SetSpeed(100*ms, 0.5)
	if ended := runToEnd(s)[j].Round(ms / 10); ended != 116*ms {
		t.Errorf("ended at %v, want 116ms: 2 at full speed, a pause, 16 at half", ended)
	}
	s.SetSpeed(200*ms, 1)
	held := []*Job{{Work: 10 * ms}, {Work: 10 * ms}, {Work: 10 * ms}}
	for _, h := range held {
		s.Arrive(200*ms, h)
	}
	if ended := runToEnd(s)[held[2]].Round(ms / 10); ended != 220*ms {
		t.Errorf("three jobs, choked above two, ended at %v, want 220ms", ended)
	}
}

// A cold server works slowly, warms up, and loses its jobs only when it is overloaded for long enough.
func TestColdStart(t *testing.T) {
	conf := Conf{Cores: 1, Speed: 1, Slots: 8, Queue: 8, ColdFrom: 0.25, ColdFor: 4 * time.Second,
		OverloadMultiple: 2, OverloadFor: time.Second}
	overload := func(load float64, duration time.Duration) *Server {
		s := newServer(t, conf, true)
		for now := time.Duration(0); now < duration; now += 10 * ms {
			s.Due(now)
			s.Arrive(now, &Job{Work: time.Duration(load * float64(10*ms))})
		}
		return s
	}
	if s := overload(0.4, 5*time.Second); s.Overloads != 0 || s.Share() != 1 {
		t.Errorf("under a small load: %d overloads, share %v", s.Overloads, s.Share())
	}
	if s := overload(3, time.Second); s.Overloads != 0 {
		t.Errorf("overloaded for less than OverloadFor: %d overloads counted", s.Overloads)
	}
	if s := overload(3, 3*time.Second); s.Overloads == 0 {
		t.Error("overloaded for longer than OverloadFor: no overload counted")
	}
	j := &Job{Work: 10 * ms}
	s := newServer(t, conf, true)
	s.Arrive(0, j)
	if ended := runToEnd(s)[j]; ended < 35*ms || ended > 45*ms {
		t.Errorf("a cold server took %v for 10ms of work, want about 40ms", ended)
	}
}

// Whatever happens in whatever order, each accepted job ends once, and the server holds no more jobs than it has slots
// and places in the queue.
func TestEachJobEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		conf := Conf{Cores: 1.5, Speed: 1, Slots: rapid.IntRange(1, 4).Draw(t, "slots"), Queue: rapid.IntRange(0, 3).Draw(t, "queue"),
			ColdFrom: 0.1, ColdFor: time.Second, OverloadMultiple: 1, OverloadFor: 100 * ms, ChokeAbove: 2, ChokeTo: 0.5}
		s, err := New(conf, 0, rapid.Bool().Draw(t, "cold"))
		if err != nil {
			t.Fatal(err)
		}
		now := time.Duration(0)
		open := map[*Job]bool{}
		var arrived []*Job
		end := func(j *Job) {
			if !open[j] {
				t.Fatal("a job ended that was not open")
			}
			delete(open, j)
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, int(30*ms)).Draw(t, "pause"))
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0, 1:
				j := &Job{Work: time.Duration(rapid.IntRange(0, int(50*ms)).Draw(t, "work"))}
				if s.Arrive(now, j) == Accepted {
					open[j] = true
				}
				arrived = append(arrived, j)
			case 2:
				if len(arrived) == 0 {
					break
				}
				j := arrived[rapid.IntRange(0, len(arrived)-1).Draw(t, "which")]
				if s.Cancel(now, j) {
					end(j)
				}
				if s.Cancel(now, j) {
					t.Fatal("canceled twice")
				}
			case 3:
				s.Pause(now, rapid.Bool().Draw(t, "paused"))
			default:
				done, _ := s.Due(now)
				for _, j := range done {
					end(j)
				}
			}
			if s.Held() != len(open) || len(s.running) > conf.Slots || len(s.queue) > conf.Queue {
				t.Fatalf("held %d, open %d, running %d, queued %d", s.Held(), len(open), len(s.running), len(s.queue))
			}
		}
		s.Pause(now, false)
		for j := range runToEnd(s) {
			end(j)
		}
		if len(open) > 0 {
			t.Fatalf("%d jobs never ended", len(open))
		}
	})
}

func TestInvalidConf(t *testing.T) {
	for _, c := range []Conf{{}, {Cores: 1, Speed: 1}, {Cores: 1, Speed: 1, Slots: 1, Queue: -1},
		{Cores: 1, Speed: 1, Slots: 1, ColdFor: time.Second}} {
		if _, err := New(c, 0, false); err == nil {
			t.Errorf("%+v: accepted", c)
		}
	}
}
