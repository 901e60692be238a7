// Package settings reads the platform's settings object, which the simulator's first message and
// the configuration of a real proxy share. Keys that it does not know are ignored.
//
// The object's keys are the platform's words; the names beside them in Go are the field's.
package settings

import (
	"encoding/json"
	"fmt"
	"time"

	"fernlanding/logic"
)

// Deployment is what the settings object says: the module's settings, and the names and times of
// the sockets.
type Deployment struct {
	Balancer logic.Settings
	Classes  []string // names, in the order of Balancer.Classes
	Tenants  []string // names, in the order of Balancer.Tenants
	Zones    []string // names, by the module's numbers

	DialTimeout time.Duration // a connection that is not established by then has failed
	IdleTimeout time.Duration // backends close connections that have been idle this long
}

// FieldError is the error of one field of the settings object.
type FieldError struct {
	Field  string // its path in the object, as "profiles[0].repeat"
	Reason string
}

// Error implements error.
func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

// unknownWord returns the error of a field with a word that is none of its values.
func unknownWord(field, word string) error {
	return &FieldError{Field: field, Reason: fmt.Sprintf("unknown word %q", word)}
}

// Decode reads a settings object. It returns the error of package json or a *FieldError. It checks
// what the module needs; CheckSockets checks the rest.
func Decode(data []byte) (*Deployment, error) {
	var o object
	if err := json.Unmarshal(data, &o); err != nil {
		return nil, err
	}
	balancer, err := o.balancer()
	if err != nil {
		return nil, err
	}
	d := &Deployment{
		Balancer:    balancer,
		Zones:       o.Zones,
		DialTimeout: time.Duration(o.Limits.DialTimeout) * time.Microsecond,
		IdleTimeout: time.Duration(o.Limits.IdleClose) * time.Microsecond,
	}
	for _, class := range o.Classes {
		d.Classes = append(d.Classes, class.Name)
	}
	for _, tenant := range o.Tenants {
		d.Tenants = append(d.Tenants, tenant.Name)
	}
	return d, nil
}

// CheckSockets returns a *FieldError if the object lacks what a proxy on real sockets needs: the
// names of classes and tenants, and the times of its connections.
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

// checkNames returns an error if a name in a list is empty or occurs twice.
func checkNames(list string, names []string) error {
	seen := map[string]bool{}
	for i, name := range names {
		if name == "" || seen[name] {
			return &FieldError{Field: fmt.Sprintf("%s[%d].name", list, i), Reason: "missing or given twice"}
		}
		seen[name] = true
	}
	return nil
}
