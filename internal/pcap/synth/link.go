package synth

import (
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
)

// Link is the link layer of the packets of a connection.
type Link int

// The link layers.
const (
	Ethernet Link = iota
	VLAN
	QinQ
	SLL
	SLL2
	Loopback
	RawIP
	LinkCount // number of link layers
)

// Type returns the link type of the link layer in a capture file.
func (l Link) Type() layers.LinkType {
	return [...]layers.LinkType{
		layers.LinkTypeEthernet, layers.LinkTypeEthernet, layers.LinkTypeEthernet, layers.LinkTypeLinuxSLL,
		layers.LinkTypeLinuxSLL2, layers.LinkTypeNull, layers.LinkTypeRaw,
	}[l]
}

// header returns the link layer header of a packet from src, whose address family selects the
// protocol.
func (l Link) header(src netip.Addr) []gopacket.SerializableLayer {
	etherType, family := layers.EthernetTypeIPv4, layers.ProtocolFamilyIPv4
	if !src.Is4() {
		etherType, family = layers.EthernetTypeIPv6, layers.ProtocolFamilyIPv6Linux
	}
	ethernet := func(next layers.EthernetType) *layers.Ethernet {
		return &layers.Ethernet{
			SrcMAC: []byte{2, 0, 0, 0, 0, 1}, DstMAC: []byte{2, 0, 0, 0, 0, 2}, EthernetType: next,
		}
	}
	tag := &layers.Dot1Q{VLANIdentifier: 7, Type: etherType}
	high, low := byte(etherType>>8), byte(etherType)
	switch l {
	case Ethernet:
		return []gopacket.SerializableLayer{ethernet(etherType)}
	case VLAN:
		return []gopacket.SerializableLayer{ethernet(layers.EthernetTypeDot1Q), tag}
	case QinQ:
		outer := &layers.Dot1Q{VLANIdentifier: 8, Type: layers.EthernetTypeDot1Q}
		return []gopacket.SerializableLayer{ethernet(layers.EthernetTypeQinQ), outer, tag}
	case SLL: // packet type, hardware type, address length, address, protocol
		return []gopacket.SerializableLayer{gopacket.Payload{
			0, 0, 0, 1, 0, 6, 2, 0, 0, 0, 0, 1, 0, 0, high, low,
		}}
	case SLL2: // protocol, reserved, interface, hardware type, packet type, address length, address
		return []gopacket.SerializableLayer{gopacket.Payload{
			high, low, 0, 0, 0, 0, 0, 1, 0, 1, 0, 6, 2, 0, 0, 0, 0, 1, 0, 0,
		}}
	case Loopback:
		return []gopacket.SerializableLayer{gopacket.Payload{byte(family), 0, 0, 0}}
	default: // raw IP
		return nil
	}
}
