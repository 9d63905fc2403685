// Package history checks recorded calls of coordination clients and operators against the platform's consistency rules.
//
// A history is a list of calls with their times, requests and answers. Check is a pure function of the history and knows nothing of
// the implementation of the service. It checks the rules ONE, ORDER, STALE, MIXED, REFUSED, LOST and CONFIG, which the constants
// below describe. A call without a definite answer may or may not have taken effect. A call that was answered with 412, 429 or 503
// has not taken effect and never will.
//
// A Recorder collects the calls of concurrent clients. Package soak records the histories of real control processes.
package history
