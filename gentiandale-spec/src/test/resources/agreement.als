/**
 * Raft with voters that lose their disks and are replaced.
 *
 * A node is the identity of a data folder: a VM that lost its disk comes back as another node. All votes of an
 * election are granted in one step. A leader appends entries of its own term; entries are ordered by term and by their
 * position within the term. A commit counts followers that are in the leader's term in the current state: processing
 * an acknowledgement later commits nothing that could not have been committed when it was sent.
 */
module agreement

open util/ordering[Term] as terms
open util/ordering[Entry] as entries

sig Term {
  -- Voters that grant their vote in the election of this term.
  quorum: set Node
}

sig Entry {
  term: one Term,
  -- Voters from this entry on; empty for an entry that does not change the voters.
  members: set Node
}

fact EntriesAreOrderedByTerm {
  all disj e, f: Entry | entries/lt[e, f] implies terms/lte[e.term, f.term]
}

sig Node {
  var currentTerm: lone Term,
  -- Latest term in which this node was elected.
  var leaderTerm: lone Term,
  var log: set Entry
}

var sig Lost in Node {}

var sig Committed in Entry {}

one sig Initial { voters: some Node }

/** Faults that a check may inject. Without any of them the protocol is correct. */
abstract sig Fault {}
lone sig VoteAfterLostDisk, CommitOlderTerm, ReplaceTwoAtOnce, ReplaceBeforeCommit extends Fault {}

fun last[s: set Entry]: lone Entry { entries/max[s] }

fun voters[n: Node]: set Node {
  let changes = { e: n.log | some e.members } | some changes implies last[changes].members else Initial.voters
}

pred majority[q, all_voters: set Node] { q in all_voters and #q > #(all_voters - q) }

pred participates[n: Node] { n not in Lost or some VoteAfterLostDisk }

pred leading[n: Node] { participates[n] and some n.leaderTerm and n.leaderTerm = n.currentTerm }

pred upToDate[n, v: Node] { no v.log or (some n.log and entries/gte[last[n.log], last[v.log]]) }

pred elect[n: Node, t: Term] {
  n in t.quorum
  majority[t.quorum, voters[n]]
  all v: t.quorum | participates[v] and (no v.currentTerm or terms/lt[v.currentTerm, t]) and upToDate[n, v]
  currentTerm' = currentTerm ++ (t.quorum -> t)
  leaderTerm' = leaderTerm ++ (n -> t)
  log' = log
  Lost' = Lost
  Committed' = Committed
}

pred append[n: Node, e: Entry] {
  leading[n]
  e.term = n.leaderTerm
  e not in Node.log
  all f: n.log | entries/lt[f, e]
  some e.members implies mayChangeVoters[n, e]
  log' = log + (n -> e)
  currentTerm' = currentTerm
  leaderTerm' = leaderTerm
  Lost' = Lost
  Committed' = Committed
}

/** The voters change by one, after an entry of the leader's term and all earlier changes are committed. */
pred mayChangeVoters[n: Node, e: Entry] {
  let old = voters[n], changed = (old - e.members) + (e.members - old) {
    some changed
    some ReplaceTwoAtOnce or #changed = 1
  }
  some ReplaceTwoAtOnce + ReplaceBeforeCommit or {
    some f: n.log & Committed | f.term = n.leaderTerm
    all f: n.log | some f.members implies f in Committed
  }
}

/** Follower f copies the log of leader n up to e. It keeps later entries only if it already has e. */
pred replicate[n, f: Node, e: Entry] {
  n != f
  leading[n]
  participates[f]
  e in n.log
  no f.currentTerm or terms/lte[f.currentTerm, n.leaderTerm]
  e in f.log implies log' = log else log' = (log - (f -> Entry)) + (f -> { x: n.log | entries/lte[x, e] })
  currentTerm' = currentTerm ++ (f -> n.leaderTerm)
  leaderTerm' = leaderTerm
  Lost' = Lost
  Committed' = Committed
}

pred commit[n: Node, e: Entry] {
  leading[n]
  e in n.log
  e.term = n.leaderTerm or some CommitOlderTerm
  majority[{ v: voters[n] | participates[v] and v.currentTerm = n.leaderTerm and e in v.log }, voters[n]]
  Committed' = Committed + { x: n.log | entries/lte[x, e] }
  currentTerm' = currentTerm
  leaderTerm' = leaderTerm
  log' = log
  Lost' = Lost
}

pred loseDisk[n: Node] {
  n not in Lost
  Lost' = Lost + n
  currentTerm' = currentTerm - (n -> Term)
  leaderTerm' = leaderTerm - (n -> Term)
  log' = log - (n -> Entry)
  Committed' = Committed
}

pred stutter {
  currentTerm' = currentTerm
  leaderTerm' = leaderTerm
  log' = log
  Lost' = Lost
  Committed' = Committed
}

fact Behaviour {
  no currentTerm
  no leaderTerm
  no log
  no Lost
  no Committed
  always (
    stutter
    or (some n: Node | loseDisk[n])
    or (some n: Node, e: Entry | append[n, e] or commit[n, e])
    or (some n, f: Node, e: Entry | replicate[n, f, e])
    or (some n: Node, t: Term | elect[n, t])
  )
}

/** At most one node is elected in each term, and an elected node has every committed entry. */
pred safe {
  always all n: Node, t: Term | elect[n, t] implies (Committed in n.log and t not in (Node - n).leaderTerm)
}

/** Two leaders append one entry each before any is replicated. Narrows the search for a counterexample. */
pred twoLeadersAppend {
  some disj n, m: Node, disj t, u: Term, disj e, f: Entry |
    (elect[n, t]; append[n, e]; elect[m, u]; append[m, f])
}

/** A change of voters can be committed. Without such a trace the checks could hold vacuously. */
run CanReplaceVoter {
  no Fault
  #Initial.voters = 3
  eventually (some e: Committed | some e.members)
} for exactly 4 Node, exactly 1 Term, exactly 2 Entry, 1 Initial, 0 Fault, 1..8 steps, 4 int

check Safe { (no Fault and #Initial.voters = 3) implies safe }
  for exactly 3 Node, exactly 3 Term, exactly 2 Entry, 1 Initial, 0 Fault, 1..8 steps, 4 int

check SafeWithReplacement { (no Fault and #Initial.voters = 3) implies safe }
  for exactly 4 Node, exactly 2 Term, exactly 2 Entry, 1 Initial, 0 Fault, 1..8 steps, 4 int

check BrokenVoteAfterLostDisk { (Fault = VoteAfterLostDisk and #Initial.voters = 3) implies safe }
  for exactly 3 Node, exactly 2 Term, exactly 1 Entry, 1 Initial, 1 Fault, 1..7 steps, 4 int

-- Without lost disks and replaced voters, so that the solver searches for this fault only.
check BrokenCommitOlderTerm {
  (Fault = CommitOlderTerm and #Initial.voters = 3 and no members and always no Lost and
    twoLeadersAppend) implies safe
} for exactly 3 Node, exactly 4 Term, exactly 2 Entry, 1 Initial, 1 Fault, 9 steps, 3 int

check BrokenReplaceTwoAtOnce { (Fault = ReplaceTwoAtOnce and #Initial.voters = 3) implies safe }
  for exactly 4 Node, exactly 2 Term, exactly 1 Entry, 1 Initial, 1 Fault, 1..7 steps, 4 int

-- Each entry changes the voters and no disk is lost, so that the solver searches for this fault only.
check BrokenReplaceBeforeCommit {
  (Fault = ReplaceBeforeCommit and #Initial.voters = 4 and Entry = members.Node and always no Lost and
    twoLeadersAppend) implies safe
} for exactly 5 Node, exactly 3 Term, exactly 2 Entry, 1 Initial, 1 Fault, 8 steps, 4 int
