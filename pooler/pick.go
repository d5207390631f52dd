package pooler

// pickIdle removes and returns the idle connection that suits the customer
// best. Setting another customer costs a statement, so it prefers the
// connection that the customer used last, then one that no customer has used, then
// one of the customer with the most idle connections.
func (p *Pool) pickIdle(customer string) *Conn {
	if len(p.idle) == 0 {
		return nil
	}
	owner := customer
	if p.idleByCustomer[customer] == 0 {
		p.needsExtraIdle = true
		owner = p.mostIdleCustomer()
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

// mostIdleCustomer returns the customer with the most idle connections, and
// among equals the one whose connection has been idle longest. It returns the
// empty customer if there are connections that no customer has used.
func (p *Pool) mostIdleCustomer() string {
	if p.idleByCustomer[""] > 0 {
		return ""
	}
	best := ""
	for _, conn := range p.idle {
		if p.idleByCustomer[conn.customer] > p.idleByCustomer[best] {
			best = conn.customer
		}
	}
	return best
}

// removeIdle removes and returns the idle connection at the index.
func (p *Pool) removeIdle(index int) *Conn {
	conn := p.idle[index]
	p.idle = append(p.idle[:index], p.idle[index+1:]...)
	if p.idleByCustomer[conn.customer]--; p.idleByCustomer[conn.customer] == 0 {
		delete(p.idleByCustomer, conn.customer)
	}
	return conn
}
