package gossip

import (
	"errors"
	"io"
)

// maxAddressBytes is the length of the longest address in a header: an IPv4 host and port.
const maxAddressBytes = len("255.255.255.255:65535")

var (
	errNoPacketAddress = errors.New("no address before the payload")
	errNoStreamAddress = errors.New("no address at the beginning of the stream")
)

// Header puts an address before a payload, as the fault relay and the transports that send through it read it: a byte
// with its length, and its text.
func Header(address string, payload []byte) []byte {
	return append(append([]byte{byte(len(address))}, address...), payload...)
}

// SplitHeader reads the address before a payload.
func SplitHeader(packet []byte) (address string, payload []byte, err error) {
	if len(packet) == 0 || int(packet[0]) > maxAddressBytes || len(packet) < 1+int(packet[0]) {
		return "", nil, errNoPacketAddress
	}
	end := 1 + packet[0]
	return string(packet[1:end]), packet[end:], nil
}

// ReadHeader reads the address at the beginning of a stream.
func ReadHeader(r io.Reader) (string, error) {
	var length [1]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return "", err
	}
	if int(length[0]) > maxAddressBytes {
		return "", errNoStreamAddress
	}
	address := make([]byte, length[0])
	_, err := io.ReadFull(r, address)
	return string(address), err
}
