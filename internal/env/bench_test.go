package env

import (
	"testing"
	"time"
)

// BenchmarkEnv measures calls through Env beside direct calls.
func BenchmarkEnv(b *testing.B) {
	var environment Env = Real{}
	var sum time.Time
	b.Run("time.Now", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			sum = time.Now()
		}
	})
	b.Run("Env.Now", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			sum = environment.Now()
		}
	})
	done := make(chan int)
	b.Run("go", func(b *testing.B) {
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			go send(done, i)
			<-done
		}
	})
	b.Run("Env.Go", func(b *testing.B) {
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			environment.Go("x", func() { send(done, i) })
			<-done
		}
	})
	_ = sum
}

func send(to chan<- int, n int) { to <- n }
