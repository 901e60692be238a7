package replay

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"fernlanding/internal/pcap/http"
)

const keyField = "Idempotency-Key"

// prepare sets the head and the body of a step to the data that is sent.
func (p *Plan) prepare(step *Step, request *http.Message) error {
	bodySize, err := p.redactBody(step, request)
	if err != nil || step.SkipReason != "" {
		return err
	}
	head := &headWriter{plan: p}
	fmt.Fprintf(&head.text, "%s %s HTTP/1.1\r\n", request.Method, request.Target)
	for _, field := range request.Header {
		p.copyField(head, step, field)
	}
	p.addFields(head, step, request)
	if !head.hasHost {
		head.text.WriteString("Host: replay\r\n")
	}
	if bodySize > 0 || step.Idempotency != Idempotent {
		fmt.Fprintf(&head.text, "Content-Length: %d\r\n", bodySize)
	}
	head.text.WriteString("\r\n")
	step.Head = []byte(head.text.String())
	return nil
}

// redactBody sets the redacted body of a step if the options redact bodies, and returns the size of
// the body that is sent. A step whose body is too large for redaction is skipped.
func (p *Plan) redactBody(step *Step, request *http.Message) (int64, error) {
	size := request.Body.Size
	if !p.opts.redactsBodies() || size <= 0 {
		return size, nil
	}
	if size > maxRedactedBody {
		step.SkipReason = fmt.Sprintf("a body of %d bytes cannot be redacted, of at most %d", size, maxRedactedBody)
		return size, nil
	}
	body, err := request.Body.Bytes()
	if err != nil {
		return size, err
	}
	for _, r := range p.opts.Redact {
		if r.Field == "" {
			body = r.Pattern.ReplaceAll(body, []byte(r.With))
		}
	}
	step.RedactedBody, step.Redacted = body, true
	return int64(len(body)), nil
}

// headWriter writes the head of a request with redacted fields.
type headWriter struct {
	plan    *Plan
	text    strings.Builder
	hasHost bool // a Host field has been written
}

// writeField writes a field with its redacted value.
func (w *headWriter) writeField(name, value string) {
	fmt.Fprintf(&w.text, "%s: %s\r\n", name, w.plan.redactField(name, value))
	if strings.EqualFold(name, "Host") {
		w.hasHost = true
	}
}

// copyField writes a captured field, unless the plan sets or omits the field. IDs and idempotency
// keys are replaced if the options require it.
func (p *Plan) copyField(head *headWriter, step *Step, field http.Field) {
	switch {
	case p.opts.setsField(field.Name) || isConnectionField(field.Name):
	case p.opts.IDField != "" && strings.EqualFold(field.Name, p.opts.IDField):
		if step.NewID == "" {
			step.NewID = p.newID()
			head.writeField(field.Name, step.NewID)
		}
	case p.opts.NewKeys && strings.EqualFold(field.Name, keyField):
		if p.newKeys[field.Value] == "" { // a captured retry gets the same new key
			p.newKeys[field.Value] = p.newID()
		}
		head.writeField(field.Name, p.newKeys[field.Value])
	default:
		head.writeField(field.Name, field.Value)
	}
}

// addFields writes the fields that the options add to a request.
func (p *Plan) addFields(head *headWriter, step *Step, request *http.Message) {
	if p.opts.IDField != "" && step.NewID == "" {
		step.NewID = p.newID()
		head.writeField(p.opts.IDField, step.NewID)
	}
	for _, name := range slices.Sorted(maps.Keys(p.opts.Copy)) {
		if value := request.FieldValue(p.opts.Copy[name]); value != "" {
			head.writeField(name, value)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(p.opts.Set)) {
		if value := p.opts.Set[name]; value != "" {
			head.writeField(name, value)
		}
	}
}

// redactField returns the redacted value of a field. Line breaks are replaced by spaces.
func (p *Plan) redactField(name, value string) string {
	for _, r := range p.opts.Redact {
		if r.Field != "" && strings.EqualFold(r.Field, name) {
			redacted := r.Pattern.ReplaceAllString(value, r.With)
			value = strings.NewReplacer("\r", " ", "\n", " ").Replace(redacted)
		}
	}
	return value
}
