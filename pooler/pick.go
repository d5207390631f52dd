package pooler

// pick removes the idle connection that suits the customer best. Setting another
// customer costs a statement, so it is the one that the customer used last, or
// else one that nobody used, or one of the customer that has most of them.
func (p *Pool) pick(customer string) *Conn {
	if len(p.idle) == 0 {
		return nil
	}
	owner := customer
	if p.idleOf[customer] == 0 {
		p.grow = true
		owner = p.richest()
	}
	if owner != customer && owner != "" {
		p.switches++
	}
	for i := len(p.idle) - 1; i >= 0; i-- {
		if p.idle[i].customer == owner {
			return p.removeIdle(i)
		}
	}
	return p.removeIdle(0)
}

// richest returns the customer with most idle connections, and among equals the
// one whose connection has been idle longest. Connections that nobody used come
// first.
func (p *Pool) richest() string {
	if p.idleOf[""] > 0 {
		return ""
	}
	best := ""
	for _, conn := range p.idle {
		if p.idleOf[conn.customer] > p.idleOf[best] {
			best = conn.customer
		}
	}
	return best
}

// removeIdle takes the idle connection at the index out.
func (p *Pool) removeIdle(at int) *Conn {
	conn := p.idle[at]
	p.idle = append(p.idle[:at], p.idle[at+1:]...)
	if p.idleOf[conn.customer]--; p.idleOf[conn.customer] == 0 {
		delete(p.idleOf, conn.customer)
	}
	return conn
}
