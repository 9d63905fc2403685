// Package gossip makes a broker a member of the fleet through hashicorp/memberlist, and maintains the broker's view of the
// fleet (package membership).
//
// memberlist implements SWIM (Das, Gupta and Motivala 2002) with Lifeguard's suspicion and local health awareness
// (Dadgar, Phillips and Currey 2018). It detects failures, disseminates them and carries the messages of other packages
// (Channel). Its API reports joins, updates and departures, but neither suspicions nor whether a departed member announced
// its departure. This package decodes both from the packets that memberlist sends and receives.
//
// Invariants:
//   - One goroutine (viewOwner) changes the view. memberlist's goroutines send it events through bounded queues and never
//     block. If a full queue drops an event, the next reconciliation of the view with memberlist's list applies it. The
//     view is reconciled once in each probe interval.
//   - A member whose metadata cannot be decoded, or whose process started in the future, is not in the view.
//   - Close returns once all goroutines of the package and of memberlist have ended.
//
// The sidecar program starts the gossip if the operator's file enables the fleet. Packages replication and budgets send
// their messages through it.
package gossip
