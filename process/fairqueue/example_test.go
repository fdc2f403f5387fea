package fairqueue_test

import (
	"fmt"
	"time"

	"samphirehitch.example/samphirehitch/process/fairqueue"
)

// One customer queues a backlog, another a single request. The single request is
// served second, and the full queue drops an entry of the backlog.
func ExampleQueue() {
	config := fairqueue.DefaultConfig()
	config.MaxLength = 4
	queue := fairqueue.New[string](config)
	for i := range 4 {
		queue.Push(0, "busy", fmt.Sprintf("batch %d", i))
	}
	if _, dropped := queue.Push(0, "quiet", "query"); dropped != nil {
		fmt.Println("dropped:", dropped.Customer, dropped.Item)
	}
	for {
		entry, ok := queue.Pop()
		if !ok {
			break
		}
		fmt.Println("run:", entry.Customer, entry.Item)
		queue.Finish(entry, 5*time.Millisecond)
	}
	// Output:
	// dropped: busy batch 3
	// run: busy batch 0
	// run: quiet query
	// run: busy batch 1
	// run: busy batch 2
}

// Entries that have waited for MaxWait are returned by Expire, so that the
// caller can refuse them.
func ExampleQueue_Expire() {
	config := fairqueue.DefaultConfig()
	config.MaxWait = time.Second
	queue := fairqueue.New[string](config)
	queue.Push(0, "a", "first")
	queue.Push(500*time.Millisecond, "b", "second")
	due, _ := queue.NextExpiry()
	for _, entry := range queue.Expire(due) {
		fmt.Println(due, entry.Item)
	}
	fmt.Println(queue.Len(), "waits")
	// Output:
	// 1s first
	// 1 waits
}
