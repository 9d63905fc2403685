package dataplane

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestDataplane(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "dataplane")
}

// eventuallyTimeout bounds the wait for an event that is expected soon.
const eventuallyTimeout = 5 * time.Second
