package ringlog

import (
	"encoding/binary"
	"hash/crc32"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
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

	// spoil makes both copies of a record unreadable.
	spoil := func(path string, at int64, payload string) {
		change(path, at+headerSize, []byte{'?'})
		change(path, at+copySize([]byte(payload))+headerSize, []byte{'?'})
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
		spoil(file(0), at, "torn")
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
		spoil(file(1), 0, "s1")
		_, records := open()
		Expect(records).To(Equal([]string{"s0", "a"}))
	})

	It("tells damage in what was synced", func() {
		ring, _ := open()
		add(ring, true, "s")
		at := ring.offset
		add(ring, false, "damaged")
		add(ring, false, "behind")
		spoil(file(0), at, "damaged")
		_, _, err := Open(options)
		Expect(err).To(MatchError(ErrDamaged))
	})

	DescribeTable("reads a record of which one copy is unreadable",
		func(copy int64, record int) {
			ring, _ := open()
			texts := []string{"snapshot", "first", "last"}
			var at []int64
			for i, text := range texts {
				add(ring, i == 0, text)
				at = append(at, ring.offset-RecordSize([]byte(text)))
			}
			for i := range copySize([]byte(texts[record])) {
				change(file(0), at[record]+copy*copySize([]byte(texts[record]))+i, []byte{0xff})
			}
			again, records := open()
			Expect(records).To(Equal(texts))
			add(again, false, "more")
			_, records = open()
			Expect(records).To(Equal(append(texts, "more")))
		},
		Entry("the first copy of the file's first record", int64(0), 0),
		Entry("its second copy", int64(1), 0),
		Entry("the first copy of the last record", int64(0), 2),
		Entry("its second copy", int64(1), 2),
		Entry("the first copy of one in between", int64(0), 1),
	)

	It("tells damage where a file's first record is lost that was synced", func() {
		ring, _ := open()
		add(ring, true, "s0")
		add(ring, false, "a")
		add(ring, true, "s1")
		add(ring, false, "b")
		add(ring, false, "c")
		spoil(file(1), 0, "s1")
		_, _, err := Open(options)
		Expect(err).To(MatchError(ErrDamaged))
	})

	It("reads what an earlier version has written, and goes on with it", func() {
		open()
		single := func(seq uint64, text string) []byte {
			b := appendRecord(nil, seq, seq-1, Record{Payload: []byte(text)})[:copySize([]byte(text))]
			binary.BigEndian.PutUint32(b, magicSingle)
			binary.BigEndian.PutUint32(b[headerSize-4:], crc32.Update(crc32.Checksum(b[:headerSize-4], checksumTable), checksumTable, []byte(text)))
			return b
		}
		change(file(0), 0, append(single(1, "s"), single(2, "a")...))
		ring, records := open()
		Expect(records).To(Equal([]string{"s", "a"}))
		add(ring, false, "b")
		_, records = open()
		Expect(records).To(Equal([]string{"s", "a", "b"}))
	})

	It("keeps what was synced, whatever a loss of power makes of what was not", func() {
		random := rand.New(rand.NewPCG(1, 1))
		for range 300 {
			options.Directory = GinkgoT().TempDir()
			ring, _, err := Open(options)
			Expect(err).NotTo(HaveOccurred())
			synced := 1 + random.IntN(12)
			var texts []string
			for i := range synced {
				text := strings.Repeat(strconv.Itoa(i), 1+random.IntN(40))
				rotate := i == 0 || random.IntN(4) == 0
				if rotate {
					texts = nil
				}
				texts = append(texts, text)
				add(ring, rotate, text)
			}
			current, offset := ring.current, ring.offset
			add(ring, random.IntN(4) == 0, "not synced")
			path, from, length := file(current), offset, RecordSize([]byte("not synced"))
			if ring.current != current {
				path, from = file(ring.current), 0
			}
			for i := range length { // each byte is there or not
				if random.IntN(8) == 0 {
					change(path, from+i, []byte{0})
				}
			}
			ring.Close()
			again, records, err := Open(options)
			Expect(err).NotTo(HaveOccurred())
			got := make([]string, 0, len(records))
			for _, record := range records {
				got = append(got, string(record))
			}
			if ring.current != current && len(got) == 1 && got[0] == "not synced" {
				got = texts // it was present, and stands for all before it
			}
			if got[len(got)-1] == "not synced" {
				got = got[:len(got)-1]
			}
			Expect(got).To(Equal(texts))
			again.Close()
		}
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
