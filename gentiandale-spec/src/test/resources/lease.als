/**
 * Lease that entitles its holder to send orders to an engine, with a monotonically increasing fencing token.
 *
 * Time is a sequence of ticks. Assumptions: over one lease a holder's clock lags at most 1 tick behind the store's; a
 * process is frozen for at most 2 ticks between checking its lease and sending (an order sent later carries an expiry
 * time that has passed); a packet is delivered within 1 tick.
 */
module lease

open util/ordering[Tick] as ticks

sig Tick {}

sig Grant {
  from: one Tick,
  ends: one Tick
}

sig Command {
  grant: one Grant,
  checked: one Tick,
  sent: one Tick,
  arrived: one Tick
}

/** Faults that a check may inject. Without any of them the protocol is correct and its assumptions hold. */
abstract sig Fault {}
lone sig NoWait, LongFreeze, LongDelay extends Fault {}

/** The engine compares fencing tokens and rejects an order of an older grant. */
lone sig EngineChecksFencing {}

/** The store grants the lease to one holder at a time. Grants are ordered by their fencing tokens. */
fact GrantsDoNotOverlap {
  all g: Grant | ticks/lt[g.from, g.ends]
  all disj g, h: Grant | ticks/lte[g.ends, h.from] or ticks/lte[h.ends, g.from]
}

pred older[g, h: Grant] { ticks/lte[g.ends, h.from] }

fun within1[t: Tick]: set Tick { t + t.next }

fun within2[t: Tick]: set Tick { t + t.next + t.next.next }

/** End of the handover wait: the sum of the assumed clock error, freeze and packet delay. */
fun afterHandoverWait[t: Tick]: lone Tick { t.next.next.next.next }

fact HoldersCheckLeaseBeforeSending {
  all c: Command {
    ticks/gte[c.checked, c.grant.from]
    -- The check may be late on the store's clock, by the clock error.
    ticks/lte[c.checked, c.grant.ends]
    ticks/gte[c.sent, c.checked]
    ticks/gte[c.arrived, c.sent]
    no LongFreeze implies c.sent in within2[c.checked]
    no LongDelay implies c.arrived in within1[c.sent]
  }
}

/** A new holder waits before its first order if there was an earlier one, unless the engine checks fencing tokens. */
fact NewHoldersWait {
  (no NoWait and no EngineChecksFencing) implies
    all c: Command | (some g: Grant | older[g, c.grant]) implies
      (some afterHandoverWait[c.grant.from] and ticks/gte[c.checked, afterHandoverWait[c.grant.from]])
}

/** Orders that the engine executes. */
fun effective: set Command {
  { c: Command | no EngineChecksFencing or no d: Command | older[c.grant, d.grant] and ticks/lte[d.arrived, c.arrived] }
}

/** No order of an older grant is executed after one of a newer grant. */
pred inOrder {
  no disj c, d: effective | older[c.grant, d.grant] and ticks/lte[d.arrived, c.arrived]
}

/** A second holder can send an order. Without such a trace the checks could hold vacuously. */
run CanHandOver {
  no Fault
  no EngineChecksFencing
  some disj c, d: Command | older[c.grant, d.grant]
} for 2 Grant, 2 Command, 12 Tick, 0 Fault, 1 EngineChecksFencing

check InOrder { no Fault implies inOrder }
  for 3 Grant, 4 Command, 14 Tick, 3 Fault, 1 EngineChecksFencing

check InOrderWithoutWaitIfChecked { (Fault = NoWait + LongFreeze + LongDelay and some EngineChecksFencing) implies inOrder }
  for 3 Grant, 4 Command, 14 Tick, 3 Fault, 1 EngineChecksFencing

check BrokenNoWait { (Fault = NoWait and no EngineChecksFencing) implies inOrder }
  for 2 Grant, 2 Command, 10 Tick, 3 Fault, 1 EngineChecksFencing

check BrokenLongFreeze { (Fault = LongFreeze and no EngineChecksFencing) implies inOrder }
  for 2 Grant, 2 Command, 12 Tick, 3 Fault, 1 EngineChecksFencing

check BrokenLongDelay { (Fault = LongDelay and no EngineChecksFencing) implies inOrder }
  for 2 Grant, 2 Command, 12 Tick, 3 Fault, 1 EngineChecksFencing
