package gossip

import (
	"errors"
	"io"
)

// maxAddressBytes is the length of the longest address in a header: an IPv4 host and port.
const maxAddressBytes = len("255.255.255.255:65535")

var (
	errNoPacketAddress = errors.New("relay packet has no valid address header")
	errNoStreamAddress = errors.New("relay stream has no valid address header")
)

// Header returns a payload with an address header before it, as the fault relay and its transports expect. The header is
// one byte with the length of the address, followed by the address as text.
func Header(address string, payload []byte) []byte {
	return append(append([]byte{byte(len(address))}, address...), payload...)
}

// SplitHeader separates the address header of a packet from the payload.
func SplitHeader(packet []byte) (address string, payload []byte, err error) {
	if len(packet) == 0 || int(packet[0]) > maxAddressBytes || len(packet) < 1+int(packet[0]) {
		return "", nil, errNoPacketAddress
	}
	end := 1 + packet[0]
	return string(packet[1:end]), packet[end:], nil
}

// ReadHeader reads the address header at the beginning of a stream.
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
