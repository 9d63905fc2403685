package ringlog

import (
	"os"
	"path/filepath"
	"strconv"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestRinglog(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "the ring of files")
}

var _ = Describe("a ring", func() {
	var options Options

	BeforeEach(func() {
		options = Options{Directory: GinkgoT().TempDir(), Files: 3, FileSize: 4096}
	})

	open := func() (*Ring, []string) {
		ring, records, err := Open(options)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(ring.Close)
		var texts []string
		for _, record := range records {
			texts = append(texts, string(record))
		}
		return ring, texts
	}
	add := func(ring *Ring, rotate bool, text string) {
		Expect(ring.Append([]Record{{Payload: []byte(text), Rotate: rotate}})).To(Succeed())
	}
	file := func(i int) string { return filepath.Join(options.Directory, "ring-"+strconv.Itoa(i)) }
	change := func(path string, at int64, b []byte) {
		f, err := os.OpenFile(path, os.O_RDWR, 0)
		Expect(err).NotTo(HaveOccurred())
		defer f.Close()
		_, err = f.WriteAt(b, at)
		Expect(err).NotTo(HaveOccurred())
	}

	It("is empty at first, and preallocated", func() {
		_, records := open()
		Expect(records).To(BeEmpty())
		info, err := os.Stat(file(0))
		Expect(err).NotTo(HaveOccurred())
		Expect(info.Size()).To(Equal(options.FileSize))
	})

	It("gives back what was appended since the newest snapshot", func() {
		ring, _ := open()
		add(ring, true, "s1")
		add(ring, false, "a")
		add(ring, true, "s2")
		add(ring, false, "b")
		add(ring, false, "c")
		_, records := open()
		Expect(records).To(Equal([]string{"s2", "b", "c"}))
	})

	It("goes round over its files", func() {
		ring, _ := open()
		for i := range 10 {
			add(ring, true, "s"+strconv.Itoa(i))
			add(ring, false, "x"+strconv.Itoa(i))
		}
		again, records := open()
		Expect(records).To(Equal([]string{"s9", "x9"}))
		add(again, false, "y")
		_, records = open()
		Expect(records).To(Equal([]string{"s9", "x9", "y"}))
	})

	It("takes a record larger than a file", func() {
		ring, _ := open()
		large := string(make([]byte, 3*options.FileSize))
		add(ring, true, large)
		add(ring, false, "a")
		_, records := open()
		Expect(records).To(Equal([]string{large, "a"}))
	})

	It("ends at a torn record that was not synced", func() {
		ring, _ := open()
		add(ring, true, "s")
		add(ring, false, "a")
		at := ring.offset
		add(ring, false, "torn")
		change(file(0), at+headerSize+1, []byte{'?'})
		again, records := open()
		Expect(records).To(Equal([]string{"s", "a"}))
		add(again, false, "b")
		_, records = open()
		Expect(records).To(Equal([]string{"s", "a", "b"}))
	})

	It("does not take an old record behind the end for a new one", func() {
		ring, _ := open()
		add(ring, true, "s0")
		add(ring, false, "old1")
		add(ring, false, "old2")
		add(ring, true, "s1")
		add(ring, true, "s2")
		add(ring, true, "s3") // over s0, old1 and old2
		_, records := open()
		Expect(records).To(Equal([]string{"s3"}))
	})

	It("falls back on the file before where a snapshot was torn", func() {
		ring, _ := open()
		add(ring, true, "s0")
		add(ring, false, "a")
		add(ring, true, "s1")
		change(file(1), headerSize, []byte{'?'})
		_, records := open()
		Expect(records).To(Equal([]string{"s0", "a"}))
	})

	It("tells damage in what was synced", func() {
		ring, _ := open()
		add(ring, true, "s")
		at := ring.offset
		add(ring, false, "damaged")
		add(ring, false, "behind")
		change(file(0), at+headerSize, []byte{'?'})
		_, _, err := Open(options)
		Expect(err).To(MatchError(ErrDamaged))
	})

	It("appends again what could not be written", func() {
		ring, _ := open()
		add(ring, true, "s")
		whole := ring.files
		broken, err := os.Open(file(0)) // read only
		Expect(err).NotTo(HaveOccurred())
		ring.files = []*os.File{broken, whole[1], whole[2]}
		Expect(ring.Append([]Record{{Payload: []byte("a")}})).NotTo(Succeed())
		ring.files = whole
		add(ring, false, "a")
		add(ring, false, "b")
		_, records := open()
		Expect(records).To(Equal([]string{"s", "a", "b"}))
	})
})
