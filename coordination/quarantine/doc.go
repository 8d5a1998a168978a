// Package quarantine finds requests that crash endpoints, and prompt parts that crash
// engines, so that routers can refuse them.
//
// An interrupted attempt is a request that an engine was running when it crashed. The sets are derived
// from those without an event. Its suspects are those of its shared parts with which no request has
// been served lately. A set of suspects that recurs in several crashes is quarantined:
// requests that contain the whole set are refused. Any request that is served clears its
// parts, so sound parts drop out of the sets and the part that crashes engines remains.
// Requests to endpoints that run no prompts are judged by the parts that they name, too.
//
// The whole request is a suspect, too, by its fingerprint, also at endpoints that know no
// prompts. It is quarantined if it was interrupted by several crashes that no other request
// explains better, and cleared by any complete answer.
//
// A response that a crash breaks off after it has begun is judged apart, see runs: by single parts and requests,
// from three crashes on. Events prove nothing there, as the engine may crash after them; a part is cleared by a
// response that is complete, or lasts clearly longer than those that the crashes broke off.
//
// Table owns this soft state. It reads no clock and does no I/O; peers exchange what they
// observed as Facts and reach the same conclusions.
package quarantine
