package controlplane

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	coordinationclient "dykering/client"
)

// newCoordinationClient returns a client that knows all members, as that of an application does.
func newCoordinationClient(members []*member, holder string) *coordinationclient.Client {
	options := coordinationclient.Options{Holder: holder, CallTimeout: eventuallyTimeout}
	for _, m := range members {
		options.Addresses = append(options.Addresses, m.settings.Listen.ControlPlane)
	}
	c, err := coordinationclient.New(options)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.Close)
	return c
}

var _ = Describe("the package client", func() {
	const hold = 4 * time.Second

	It("keeps a lock and a watch while each member is restarted in turn", func(ctx context.Context) {
		members := startMembers(3)
		a, b := newCoordinationClient(members, "a"), newCoordinationClient(members, "b")
		lock, err := a.Acquire(ctx, "l", hold)
		Expect(err).NotTo(HaveOccurred())
		first, err := a.Put(ctx, "g.k", "0")
		Expect(err).NotTo(HaveOccurred())
		watch, err := b.Watch("g.", first)
		Expect(err).NotTo(HaveOccurred())

		number := uint64(0)
		for i, m := range members {
			m.end()
			next, err := b.Next(ctx, "n")
			Expect(err).NotTo(HaveOccurred())
			Expect(next).To(BeNumerically(">", number))
			number = next
			_, err = b.TryAcquire(ctx, "l", hold)
			Expect(err).To(MatchError(coordinationclient.ErrLockHeld))
			value := fmt.Sprint(i + 1)
			put, err := a.Put(ctx, "g.k", value)
			Expect(err).NotTo(HaveOccurred())
			event, err := watch.Next(ctx)
			Expect(err).NotTo(HaveOccurred())
			Expect(event).To(Equal(coordinationclient.Event{Key: "g.k", Value: value, Revision: put}))
			m.start()
			eventually(func() int { return sendChange(m, i+1, i) }).Should(Equal(200))
		}
		Expect(lock.Held()).To(BeTrue())
		Expect(lock.Release(ctx)).To(Succeed())
		second, err := b.TryAcquire(ctx, "l", hold)
		Expect(err).NotTo(HaveOccurred())
		Expect(second.Token()).To(BeNumerically(">", lock.Token()))
		Expect(second.Release(ctx)).To(Succeed())
	}, SpecTimeout(time.Minute))
})
