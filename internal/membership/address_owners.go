package membership

import "slices"

// AddressOwners removes endpoints from lists whose address has been taken over: another endpoint
// with the address has started later. A list may name both, because the end of a process is noticed
// later than the start of the next one. What is sent to the older endpoint would reach the newer
// one. An AddressOwners is not safe for concurrent use.
type AddressOwners struct {
	endpoints map[string]endpointAt    // by name
	addresses map[string]*addressState // by address
}

// endpointAt is the place and the start of a listed endpoint.
type endpointAt struct {
	address   string
	startedMs int64
}

// addressState is the endpoints that are listed with an address.
type addressState struct {
	names    []string
	newestMs int64 // latest start of an endpoint that has been listed with the address
}

// NewAddressOwners returns an AddressOwners without endpoints.
func NewAddressOwners() *AddressOwners {
	return &AddressOwners{endpoints: map[string]endpointAt{}, addresses: map[string]*addressState{}}
}

// Apply applies a full list or a delta. It returns the list without the endpoints whose address has
// been taken over. A delta also deletes those that lose their address by it. The given list does not
// change.
func (o *AddressOwners) Apply(list *List) *List {
	if list.Full {
		o.removeUnlisted(list)
	}
	for _, endpoint := range list.Endpoints {
		o.update(endpoint)
	}
	if list.Full {
		return o.withoutOlder(list)
	}
	return o.deleteOlder(list)
}

// removeUnlisted removes the endpoints that a full list does not name.
func (o *AddressOwners) removeUnlisted(list *List) {
	listed := make(map[string]bool, len(list.Endpoints))
	for _, endpoint := range list.Endpoints {
		listed[endpoint.Name] = true
	}
	for name := range o.endpoints {
		if !listed[name] {
			o.remove(name)
		}
	}
}

// update applies an entry of a list.
func (o *AddressOwners) update(endpoint Endpoint) {
	state := o.addresses[endpoint.Address]
	if state == nil && endpoint.Status != Deleted {
		state = &addressState{}
		o.addresses[endpoint.Address] = state
	}
	if state != nil { // an endpoint that is deleted has had the address
		state.newestMs = max(state.newestMs, endpoint.StartedMs)
	}
	if endpoint.Status == Deleted {
		o.remove(endpoint.Name)
		return
	}
	if o.endpoints[endpoint.Name].address != endpoint.Address {
		state.names = append(state.names, endpoint.Name)
		o.remove(endpoint.Name)
	}
	o.endpoints[endpoint.Name] = endpointAt{address: endpoint.Address, startedMs: endpoint.StartedMs}
}

// remove removes an endpoint, and its address with the last endpoint there.
func (o *AddressOwners) remove(name string) {
	at, ok := o.endpoints[name]
	if !ok {
		return
	}
	delete(o.endpoints, name)
	state := o.addresses[at.address]
	state.names = slices.DeleteFunc(state.names, func(n string) bool { return n == name })
	if len(state.names) == 0 {
		delete(o.addresses, at.address)
	}
}

// isOlder reports whether the address of a listed endpoint has been taken over.
func (o *AddressOwners) isOlder(name string) bool {
	at, ok := o.endpoints[name]
	return ok && at.startedMs < o.addresses[at.address].newestMs
}

// withoutOlder returns a full list without the endpoints whose address has been taken over.
func (o *AddressOwners) withoutOlder(list *List) *List {
	isOlder := func(e Endpoint) bool { return o.isOlder(e.Name) }
	if !slices.ContainsFunc(list.Endpoints, isOlder) {
		return list
	}
	owners := *list
	owners.Endpoints = slices.DeleteFunc(slices.Clone(list.Endpoints), isOlder)
	return &owners
}

// deleteOlder returns a delta that deletes the endpoints whose address has been taken over, as far as
// the delta concerns their address.
func (o *AddressOwners) deleteOlder(list *List) *List {
	owners := List{Version: list.Version}
	changed := false
	for _, endpoint := range list.Endpoints {
		if o.isOlder(endpoint.Name) {
			endpoint.Status, changed = Deleted, true
		}
		owners.Endpoints = append(owners.Endpoints, endpoint)
	}
	for _, endpoint := range list.Endpoints {
		state := o.addresses[endpoint.Address]
		if state == nil || len(state.names) == 1 && state.names[0] == endpoint.Name {
			continue // the usual case
		}
		for _, name := range state.names {
			if name != endpoint.Name && o.isOlder(name) {
				older := Endpoint{Name: name, Address: endpoint.Address, Status: Deleted}
				owners.Endpoints, changed = append(owners.Endpoints, older), true
			}
		}
	}
	if !changed {
		return list
	}
	return &owners
}
