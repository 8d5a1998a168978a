// Package quarantine finds requests that crash endpoints, and prompt parts that crash
// engines, so that routers can refuse them.
//
// An interrupted attempt is a request that an engine was running, without an event, when
// the engine crashed. Its suspects are those of its shared parts with which no request has
// been served lately. A set of suspects that recurs in several crashes is quarantined:
// requests that contain the whole set are refused. Any request that is served clears its
// parts, so sound parts drop out of the sets and the part that crashes engines remains.
// Requests to endpoints that run no prompts are judged by the parts that they name, too.
//
// The whole request is a suspect, too, by its fingerprint, also at endpoints that know no
// prompts. It is quarantined if it was interrupted by several crashes that no other request
// explains better, and cleared by any complete answer.
//
// Table owns this soft state. It reads no clock and does no I/O; peers exchange what they
// observed as Facts and reach the same conclusions.
package quarantine
