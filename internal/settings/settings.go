// Package settings reads the platform's settings object. The first message of the simulator and the
// configuration of a real proxy both contain this object. Unknown keys are ignored.
//
// The JSON keys are defined by the platform. The Go fields have the usual terms instead.
package settings

import (
	"encoding/json"
	"fmt"
	"time"

	"fernlanding/logic"
)

// Deployment is the content of a settings object: the settings of the balancer, the names of
// classes, tenants and zones, and the timeouts of connections.
type Deployment struct {
	Balancer logic.Settings
	Classes  []string // class names, in the order of Balancer.Classes
	Tenants  []string // tenant names, in the order of Balancer.Tenants
	Zones    []string // zone names, indexed by the balancer's zone numbers

	DialTimeout time.Duration // timeout for establishing a connection
	IdleTimeout time.Duration // idle time after which backends close a connection
}

// FieldError is returned for an invalid field of the settings object.
type FieldError struct {
	Field  string // path of the field in the object, such as "profiles[0].repeat"
	Reason string
}

// Error implements error.
func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

// unknownValueError returns the error for a field whose value is none of the allowed values.
func unknownValueError(field, value string) error {
	return &FieldError{Field: field, Reason: fmt.Sprintf("unknown value %q", value)}
}

// Decode decodes a settings object. Its error is either from [encoding/json] or a *FieldError.
// Decode does not check the names of classes and tenants and the timeouts of connections; see
// [Deployment.CheckSockets].
func Decode(data []byte) (*Deployment, error) {
	var o object
	if err := json.Unmarshal(data, &o); err != nil {
		return nil, err
	}
	balancer, err := o.balancerSettings()
	if err != nil {
		return nil, err
	}
	d := &Deployment{
		Balancer:    balancer,
		Zones:       o.Zones,
		DialTimeout: time.Duration(o.Limits.DialTimeout) * time.Microsecond,
		IdleTimeout: time.Duration(o.Limits.IdleTimeout) * time.Microsecond,
	}
	for _, class := range o.Classes {
		d.Classes = append(d.Classes, class.Name)
	}
	for _, tenant := range o.Tenants {
		d.Tenants = append(d.Tenants, tenant.Name)
	}
	return d, nil
}

// CheckSockets checks the settings that only a proxy on real sockets needs: the names of classes
// and tenants, and the timeouts of connections. It returns a *FieldError if one is missing or
// invalid.
func (d *Deployment) CheckSockets() error {
	if d.DialTimeout <= 0 {
		return &FieldError{Field: "limits.dial_timeout_us", Reason: "not positive"}
	}
	if d.IdleTimeout <= 0 {
		return &FieldError{Field: "limits.idle_close_us", Reason: "not positive"}
	}
	if err := checkNames("profiles", d.Classes); err != nil {
		return err
	}
	return checkNames("tenants", d.Tenants)
}

// checkNames returns a *FieldError if a name in a list is empty or duplicate.
func checkNames(list string, names []string) error {
	seen := map[string]bool{}
	for i, name := range names {
		if name == "" || seen[name] {
			return &FieldError{Field: fmt.Sprintf("%s[%d].name", list, i), Reason: "missing or duplicate name"}
		}
		seen[name] = true
	}
	return nil
}
