package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"fernlanding/internal/settings"
	"fernlanding/logic"
)

const (
	readBuffer = 1 << 20
	rosters    = 16 // roster numbers run below this
)

// instance is one proxy's balancer with the host that carries out its decisions.
type instance struct {
	bal  *logic.Balancer
	host *host
}

// server plays the batches of one process.
type server struct {
	now       int64
	inBatch   bool
	instances map[string]*instance
	rosters   [rosters][]logic.Endpoint
	listed    [rosters]bool
	out       *bufio.Writer
	enc       *json.Encoder
}

// serve plays batches until the input ends. It stops at the first line that it cannot read for certain.
func serve(in io.Reader, out io.Writer) error {
	w := bufio.NewWriterSize(out, readBuffer)
	s := &server{instances: map[string]*instance{}, out: w, enc: json.NewEncoder(w)}
	s.enc.SetEscapeHTML(false)
	r := bufio.NewReaderSize(in, readBuffer)
	for n := 1; ; n++ {
		line, err := readLine(r)
		if len(bytes.TrimSpace(line)) > 0 {
			if err := s.line(line); err != nil {
				return fmt.Errorf("line %d: %w", n, err)
			}
		}
		if errors.Is(err, io.EOF) {
			if s.inBatch {
				return fmt.Errorf("line %d: the input ends inside a batch", n)
			}
			return w.Flush()
		}
		if err != nil {
			return fmt.Errorf("line %d: %w", n, err)
		}
	}
}

// readLine returns the next line, however long; it is valid until the next call.
func readLine(r *bufio.Reader) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return line, err
	}
	whole := bytes.Clone(line)
	rest, err := r.ReadBytes('\n')
	return append(whole, rest...), err
}

// line takes one line of input.
func (s *server) line(line []byte) error {
	var e event
	if err := json.Unmarshal(line, &e); err != nil {
		return fmt.Errorf("not an event: %w", err)
	}
	if e.Mark == nil && !s.inBatch {
		return errors.New("an event before the batch's mark")
	}
	switch {
	case e.Mark != nil:
		return s.mark(e.Mark)
	case e.YourTurn != nil:
		s.inBatch = false
		if err := s.enc.Encode(action{Done: &struct{}{}}); err != nil {
			return err
		}
		return s.out.Flush()
	case e.Ledger != nil:
		return s.ledger(e.Ledger)
	case e.NewInstance != nil:
		return s.newInstance(e.NewInstance)
	case e.PowerOff != nil:
		if _, err := s.find("power_off", e.PowerOff.Who); err != nil {
			return err
		}
		delete(s.instances, *e.PowerOff.Who)
		return nil
	case e.Membership != nil:
		return s.membership(e.Membership)
	case e.JobIn != nil:
		return s.jobIn(e.JobIn)
	case e.Completed != nil:
		return s.completed(e.Completed)
	case e.Withdrawn != nil:
		return s.withdrawn(e.Withdrawn)
	case e.TickDue != nil:
		return s.tickDue(e.TickDue)
	case e.Established != nil:
		return s.established(e.Established)
	case e.ProbeDone != nil:
		_, err := s.find("probe_done", e.ProbeDone.Who)
		return err
	case e.Message != nil:
		_, err := s.find("message", e.Message.Who)
		return err
	}
	return fmt.Errorf("unknown event: %.80s", bytes.TrimSpace(line))
}

func (s *server) find(name string, who *string) (*instance, error) {
	if who == nil {
		return nil, fmt.Errorf("%s: who is missing", name)
	}
	in := s.instances[*who]
	if in == nil {
		return nil, fmt.Errorf("%s: unknown instance %q", name, *who)
	}
	return in, nil
}

func (s *server) mark(m *mark) error {
	if m.Time == nil {
		return errors.New("mark: time_us is missing")
	}
	s.now, s.inBatch = *m.Time, true
	return nil
}

func (s *server) ledger(l *ledger) error {
	if l.Roster == nil || l.Elements == nil {
		return errors.New("ledger: roster_id or elements is missing")
	}
	if *l.Roster < 0 || *l.Roster >= rosters {
		return fmt.Errorf("ledger: roster_id %d is out of range", *l.Roster)
	}
	list, err := l.servers()
	if err != nil {
		return fmt.Errorf("ledger: %w", err)
	}
	s.rosters[*l.Roster], s.listed[*l.Roster] = list, true
	return nil
}

func (s *server) newInstance(n *newInstance) error {
	if n.Who == nil || n.Salt == nil || n.Options == nil || string(n.Options) == "null" {
		return errors.New("new_instance: who, salt or options is missing")
	}
	site, err := settings.Decode(n.Options)
	if err != nil {
		return fmt.Errorf("new_instance: options.%w", err)
	}
	bal, err := logic.New(site.Balancer, *n.Salt)
	if err != nil {
		return fmt.Errorf("new_instance: %w", err)
	}
	s.instances[*n.Who] = &instance{bal: bal, host: &host{who: *n.Who, out: s.enc}}
	return nil
}

func (s *server) membership(m *membership) error {
	in, err := s.find("membership", m.Who)
	if err != nil {
		return err
	}
	if m.How == nil || *m.How < 0 || *m.How > 3 {
		return errors.New("membership: how is missing or unknown")
	}
	kind := logic.UpdateKind(*m.How)
	if kind == logic.UpdateFailed {
		in.bal.UpdateEndpoints(s.now, in.host, kind, nil)
		return nil
	}
	if m.Roster == nil || *m.Roster < 0 || *m.Roster >= rosters || !s.listed[*m.Roster] {
		return errors.New("membership: roster_id is missing or unknown")
	}
	in.bal.UpdateEndpoints(s.now, in.host, kind, s.rosters[*m.Roster])
	return nil
}

func (s *server) jobIn(j *jobIn) error {
	in, err := s.find("job_in", j.Who)
	if err != nil {
		return err
	}
	if j.Ticket == nil || j.Band == nil || j.GiveUp == nil {
		return errors.New("job_in: ticket, band or give_up_at_us is missing")
	}
	in.bal.Request(s.now, in.host, logic.Request{
		ID: *j.Ticket, Class: *j.Band, Tenant: j.Owner, Key: j.Key,
		ClientDeadline: *j.GiveUp,
	})
	return nil
}

func (s *server) completed(c *completed) error {
	in, err := s.find("completed", c.Who)
	if err != nil {
		return err
	}
	if c.Ticket == nil || c.Go == nil || c.Verdict == nil {
		return errors.New("completed: ticket, go or verdict is missing")
	}
	status, ok := statuses[*c.Verdict]
	if !ok {
		return fmt.Errorf("completed: unknown verdict %d", *c.Verdict)
	}
	in.bal.Outcome(s.now, in.host, logic.Outcome{
		ID: *c.Ticket, Attempt: *c.Go, Status: status,
		Latency: c.Took, RequestDone: c.Terminal,
	})
	return nil
}

func (s *server) withdrawn(t *ticketOnly) error {
	in, err := s.find("withdrawn", t.Who)
	if err != nil {
		return err
	}
	if t.Ticket == nil {
		return errors.New("withdrawn: ticket is missing")
	}
	in.bal.Cancel(s.now, in.host, *t.Ticket)
	return nil
}

func (s *server) established(c *completed) error {
	in, err := s.find("established", c.Who)
	if err != nil {
		return err
	}
	if c.Ticket == nil {
		return errors.New("established: ticket is missing")
	}
	in.bal.ResponseStarted(s.now, *c.Ticket)
	return nil
}

func (s *server) tickDue(t *tickDue) error {
	in, err := s.find("tick_due", t.Who)
	if err != nil {
		return err
	}
	if t.Nonce == nil {
		return errors.New("tick_due: nonce is missing")
	}
	in.bal.Timer(s.now, in.host, *t.Nonce)
	return nil
}
