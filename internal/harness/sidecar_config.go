package harness

import (
	"fmt"
	"net"
	"strconv"
	"strings"

	"fernlanding/internal/harness/worker"
)

// configText returns a sidecar's configuration file.
func (r *run) configText(index int) string {
	sidecars := r.spec.Sidecars
	var text strings.Builder
	fmt.Fprintf(&text, "version = 2\nname = %q\n\n[process]\n", r.sidecarNames[index])
	if sidecars.PersistState {
		fmt.Fprintf(&text, "state_dir = %q\n", r.stateDir(index))
	}
	fmt.Fprintf(&text, "memory_mb = %g\nsockets = %d\n\n", sidecars.MemoryMB, sidecars.Sockets)
	listen := net.JoinHostPort(r.addrs[index].String(), strconv.Itoa(r.sidecarPort))
	fmt.Fprintf(&text, "[[listeners]]\naddress = %q\n\n", listen)
	r.writeService(&text, index)
	writeClasses(&text, r.spec.Clients.PriorityWeights)
	writeRoutes(&text)
	return text.String()
}

// writeService writes the service that a sidecar forwards to, with the address of the list service
// that provides its endpoints.
func (r *run) writeService(text *strings.Builder, index int) {
	sidecars, backends := r.spec.Sidecars, r.spec.Backends
	relayPort := r.listRelayPorts[index%len(r.listRelayPorts)]
	discovery := net.JoinHostPort(r.addrs[index].String(), strconv.Itoa(relayPort))
	fmt.Fprintf(text, "[services.rating]\nmembership = \"catalog\"\ndiscovery = %q\ntrusted = true\n", discovery)
	if sidecars.KnowReplicaCount {
		fmt.Fprintf(text, "siblings = %d\nordinal = %d\n", sidecars.Count, index)
	}
	fmt.Fprintf(text, "zones = [%s]\nzone = %q\n", quoteList(sidecars.Sites), r.spec.Site(index))
	if backends.Warmup > 0 {
		fmt.Fprintf(text, "cold = %q\nstart_capacity = %g\ncold_multiple = %g\n",
			backends.Warmup, backends.StartCapacity, backends.ColdMultiple)
	}
	if quota := r.spec.Clients.Quota; quota > 0 {
		fmt.Fprintf(text, "[services.rating.tenants.%s]\nportion = 1\nquota = %g\n", worker.Tenant, quota)
	}
}

// writeClasses writes the request classes of the service, with their priority weights if priorities
// is set.
func writeClasses(text *strings.Builder, priorities bool) {
	for _, class := range worker.Classes() {
		fmt.Fprintf(text, "[services.rating.classes.%s]\nrepeat = %q\nobjective = %q\ndeadline = %q\n",
			class.Name, class.Idempotency, class.Objective, class.Deadline)
		if priorities {
			fmt.Fprintf(text, "worth = %g\n", class.PriorityWeight)
		}
		if class.Idempotency == "keyed" {
			fmt.Fprintf(text, "key = \"Idempotency-Key\"\ndedup_scope = \"cell\"\ndedup_window = %q\n",
				worker.DedupWindow)
		}
	}
}

// writeRoutes writes a route for each request class.
func writeRoutes(text *strings.Builder) {
	for _, class := range worker.Classes() {
		fmt.Fprintf(text, "\n[[routes]]\nname = %q\nprefix = %q\nservice = \"rating\"\nclass = %q\n",
			class.Name, class.Path, class.Name)
	}
}

// quoteList formats texts as the elements of a TOML array.
func quoteList(texts []string) string {
	var quoted []string
	for _, text := range texts {
		quoted = append(quoted, strconv.Quote(text))
	}
	return strings.Join(quoted, ", ")
}
