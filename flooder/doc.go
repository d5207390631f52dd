// Package flooder holds tests with clients that the operators do not control:
// they send large or endless messages, do not read responses, stop halfway, or open
// connections up to the limit of descriptors. The tests run the product's own
// binary and need the build tag uncontrolled, since only one of them may run at a
// time:
//
//	go test -tags uncontrolled -p 1 ./flooder
package flooder
