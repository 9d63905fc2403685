// Package gossip runs a broker's membership in the fleet by hashicorp/memberlist, and maintains the broker's view of the
// fleet (package membership) from it.
//
// memberlist implements SWIM (Das, Gupta and Motivala 2002) with Lifeguard's suspicion and local health awareness
// (Dadgar, Phillips and Currey 2018): it detects failures, disseminates them and carries the messages of other packages
// (Channel). Its interface reports joins, updates and departures, but neither suspicions nor whether a departed member
// announced that it leaves. This package reads those from the packets that memberlist sends and receives.
//
// Invariants:
//   - One goroutine (viewOwner) changes the view. memberlist's goroutines reach it through bounded queues and never block;
//     what a queue drops is found when the view is next reconciled with memberlist's list, once in each probe interval.
//   - A member whose metadata cannot be read, or whose process started in the future, is not in the view.
//   - Close returns once all goroutines of the package and of memberlist have ended.
//
// The sidecar program starts it where the operator's file enables the fleet; packages replication and budgets send
// through it.
package gossip
