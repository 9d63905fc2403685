package ringlog

import (
	"encoding/binary"
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
	RunSpecs(t, "ring log")
}

var _ = Describe("a ring of files", func() {
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
	appendText := func(ring *Ring, rotate bool, text string) {
		Expect(ring.Append([]Record{{Payload: []byte(text), Rotate: rotate}})).To(Succeed())
	}
	file := func(i int) string { return filepath.Join(options.Directory, "ring-"+strconv.Itoa(i)) }
	overwrite := func(path string, at int64, b []byte) {
		f, err := os.OpenFile(path, os.O_RDWR, 0)
		Expect(err).NotTo(HaveOccurred())
		defer f.Close()
		_, err = f.WriteAt(b, at)
		Expect(err).NotTo(HaveOccurred())
	}

	// damage makes both copies of a record unreadable.
	damage := func(path string, at int64, payload string) {
		overwrite(path, at+headerSize, []byte{'?'})
		overwrite(path, at+copySize([]byte(payload))+headerSize, []byte{'?'})
	}

	It("is empty and preallocated when it is created", func() {
		_, records := open()
		Expect(records).To(BeEmpty())
		info, err := os.Stat(file(0))
		Expect(err).NotTo(HaveOccurred())
		Expect(info.Size()).To(Equal(options.FileSize))
	})

	It("returns the records since the newest snapshot", func() {
		ring, _ := open()
		appendText(ring, true, "s1")
		appendText(ring, false, "a")
		appendText(ring, true, "s2")
		appendText(ring, false, "b")
		appendText(ring, false, "c")
		_, records := open()
		Expect(records).To(Equal([]string{"s2", "b", "c"}))
	})

	It("reuses its files in turn", func() {
		ring, _ := open()
		for i := range 10 {
			appendText(ring, true, "s"+strconv.Itoa(i))
			appendText(ring, false, "x"+strconv.Itoa(i))
		}
		again, records := open()
		Expect(records).To(Equal([]string{"s9", "x9"}))
		appendText(again, false, "y")
		_, records = open()
		Expect(records).To(Equal([]string{"s9", "x9", "y"}))
	})

	It("stores a record that is larger than a file", func() {
		ring, _ := open()
		large := string(make([]byte, 3*options.FileSize))
		appendText(ring, true, large)
		appendText(ring, false, "a")
		_, records := open()
		Expect(records).To(Equal([]string{large, "a"}))
	})

	It("ends at a torn record that was not synced", func() {
		ring, _ := open()
		appendText(ring, true, "s")
		appendText(ring, false, "a")
		at := ring.offset
		appendText(ring, false, "torn")
		damage(file(0), at, "torn")
		again, records := open()
		Expect(records).To(Equal([]string{"s", "a"}))
		appendText(again, false, "b")
		_, records = open()
		Expect(records).To(Equal([]string{"s", "a", "b"}))
	})

	It("does not return records of an earlier use of the file", func() {
		ring, _ := open()
		appendText(ring, true, "s0")
		appendText(ring, false, "old1")
		appendText(ring, false, "old2")
		appendText(ring, true, "s1")
		appendText(ring, true, "s2")
		appendText(ring, true, "s3") // reuses the file of s0, old1 and old2
		_, records := open()
		Expect(records).To(Equal([]string{"s3"}))
	})

	It("returns the records of the previous file if a snapshot was torn", func() {
		ring, _ := open()
		appendText(ring, true, "s0")
		appendText(ring, false, "a")
		appendText(ring, true, "s1")
		damage(file(1), 0, "s1")
		_, records := open()
		Expect(records).To(Equal([]string{"s0", "a"}))
	})

	It("reports damage to a synced record", func() {
		ring, _ := open()
		appendText(ring, true, "s")
		at := ring.offset
		appendText(ring, false, "damaged")
		appendText(ring, false, "after")
		damage(file(0), at, "damaged")
		_, _, err := Open(options)
		Expect(err).To(MatchError(ErrDamaged))
	})

	DescribeTable("returns a record with one unreadable copy",
		func(copyIndex int64, record int) {
			ring, _ := open()
			texts := []string{"snapshot", "first", "last"}
			var at []int64
			for i, text := range texts {
				appendText(ring, i == 0, text)
				at = append(at, ring.offset-RecordSize([]byte(text)))
			}
			for i := range copySize([]byte(texts[record])) {
				overwrite(file(0), at[record]+copyIndex*copySize([]byte(texts[record]))+i, []byte{0xff})
			}
			again, records := open()
			Expect(records).To(Equal(texts))
			appendText(again, false, "more")
			_, records = open()
			Expect(records).To(Equal(append(texts, "more")))
		},
		Entry("the first copy of the file's first record", int64(0), 0),
		Entry("the second copy of the file's first record", int64(1), 0),
		Entry("the first copy of the last record", int64(0), 2),
		Entry("the second copy of the last record", int64(1), 2),
		Entry("the first copy of a record in between", int64(0), 1),
	)

	It("reports damage if a file's synced first record is lost", func() {
		ring, _ := open()
		appendText(ring, true, "s0")
		appendText(ring, false, "a")
		appendText(ring, true, "s1")
		appendText(ring, false, "b")
		appendText(ring, false, "c")
		damage(file(1), 0, "s1")
		_, _, err := Open(options)
		Expect(err).To(MatchError(ErrDamaged))
	})

	It("reads the records of an earlier version and appends to them", func() {
		open()
		single := func(seq uint64, text string) []byte {
			b := appendRecord(nil, seq, seq-1, Record{Payload: []byte(text)})[:copySize([]byte(text))]
			binary.BigEndian.PutUint32(b, magicSingle)
			binary.BigEndian.PutUint32(b[checksumOffset:], checksum(b[:checksumOffset], []byte(text)))
			return b
		}
		overwrite(file(0), 0, append(single(1, "s"), single(2, "a")...))
		ring, records := open()
		Expect(records).To(Equal([]string{"s", "a"}))
		appendText(ring, false, "b")
		_, records = open()
		Expect(records).To(Equal([]string{"s", "a", "b"}))
	})

	It("returns all synced records after a power loss that tears the unsynced record", func() {
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
				appendText(ring, rotate, text)
			}
			current, offset := ring.current, ring.offset
			appendText(ring, random.IntN(4) == 0, "not synced")
			path, from, length := file(current), offset, RecordSize([]byte("not synced"))
			if ring.current != current {
				path, from = file(ring.current), 0
			}
			for i := range length { // each byte may be lost
				if random.IntN(8) == 0 {
					overwrite(path, from+i, []byte{0})
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
				got = texts // the snapshot was readable and replaces all records before it
			}
			if got[len(got)-1] == "not synced" {
				got = got[:len(got)-1]
			}
			Expect(got).To(Equal(texts))
			again.Close()
		}
	})

	It("appends the same records after a failed write", func() {
		ring, _ := open()
		appendText(ring, true, "s")
		files := ring.files
		readOnly, err := os.Open(file(0))
		Expect(err).NotTo(HaveOccurred())
		ring.files = []*os.File{readOnly, files[1], files[2]}
		Expect(ring.Append([]Record{{Payload: []byte("a")}})).NotTo(Succeed())
		ring.files = files
		appendText(ring, false, "a")
		appendText(ring, false, "b")
		_, records := open()
		Expect(records).To(Equal([]string{"s", "a", "b"}))
	})
})
