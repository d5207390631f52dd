package director

import "github.com/endiveturn/endiveturn/executor"

// isCountedRequest reports whether a statement that is sent to a database counts as a
// request of a customer in usage reports. A request is an operation of a client that a
// database may have run: it counts with the first statement that may have run, and once
// more when it is sent again. Statements of the proxy itself have no ID.
func (op *operation) isCountedRequest(statement executor.Request) bool {
	return statement.ID != "" && !op.mayHaveRun
}

// countRequest counts a statement that is being sent, if it counts. The returned function
// records whether a database may have run it.
func (a *attempt) countRequest(statement executor.Request) (end func(mayHaveRun bool)) {
	d, customer := a.operation.session.director, a.operation.customer
	if d.BeginRequest == nil || customer == "" || !a.operation.isCountedRequest(statement) {
		return func(bool) {}
	}
	window := d.BeginRequest(customer)
	return func(mayHaveRun bool) { d.EndRequest(customer, window, mayHaveRun) }
}
