/**
 * Founding of a group: a majority of the initial VMs agrees on the first voters by single-decree Paxos.
 *
 * A node is an initial VM with the data folder of the first start. A VM that lost its disk takes no further part. The
 * promises of a ballot are given in one step; votes are counted when they arrive, also those of nodes that have lost
 * their disks since.
 */
module founding

open util/ordering[Ballot] as ballots

sig Proposal {}

sig Ballot {
  -- Nodes whose promises the proposer has when it chooses the proposal.
  quorum: set Node,
  proposal: one Proposal
}

sig Node {
  var promised: lone Ballot,
  var accepted: lone Ballot
}

var sig Lost in Node {}

var sig Started in Ballot {}

one sig Votes { var cast: Ballot -> Node }

/** Faults that a check may inject. Without any of them the protocol is correct. */
abstract sig Fault {}
lone sig VoteAfterLostDisk, IgnoreAccepted, MinorityQuorum, IgnorePromise extends Fault {}

pred participates[n: Node] { n not in Lost or some VoteAfterLostDisk }

pred majority[q: set Node] { #q > #(Node - q) or (some MinorityQuorum and some q) }

pred start[b: Ballot] {
  b not in Started
  majority[b.quorum]
  all n: b.quorum | participates[n] and (no n.promised or ballots/lt[n.promised, b])
  let last = ballots/max[b.quorum.accepted] | some last and no IgnoreAccepted implies b.proposal = last.proposal
  Started' = Started + b
  promised' = promised ++ (b.quorum -> b)
  accepted' = accepted
  cast' = cast
  Lost' = Lost
}

pred vote[n: Node, b: Ballot] {
  b in Started
  participates[n]
  no n.promised or ballots/lte[n.promised, b] or some IgnorePromise
  promised' = promised ++ (n -> b)
  accepted' = accepted ++ (n -> b)
  Votes.cast' = Votes.cast + (b -> n)
  Started' = Started
  Lost' = Lost
}

pred loseDisk[n: Node] {
  n not in Lost
  Lost' = Lost + n
  promised' = promised - (n -> Ballot)
  accepted' = accepted - (n -> Ballot)
  cast' = cast
  Started' = Started
}

pred stutter {
  promised' = promised
  accepted' = accepted
  cast' = cast
  Started' = Started
  Lost' = Lost
}

fact Behaviour {
  no promised
  no accepted
  no cast
  no Started
  no Lost
  always (
    stutter
    or (some n: Node | loseDisk[n])
    or (some b: Ballot | start[b])
    or (some n: Node, b: Ballot | vote[n, b])
  )
}

pred decided[b: Ballot] { majority[Votes.cast[b]] }

/** All ballots that are ever decided have the same proposal, so that there is one group. */
pred safe { always all b, c: Ballot | decided[b] and decided[c] implies b.proposal = c.proposal }

/** A group can be founded although the proposer of the first ballot and its disk are lost. */
run CanFoundAfterLoss {
  no Fault
  eventually (some Lost and some b: Ballot | b != ballots/first and decided[b])
} for exactly 3 Node, exactly 2 Ballot, exactly 2 Proposal, 0 Fault, 1..8 steps, 4 int

check Safe { no Fault implies safe }
  for exactly 3 Node, exactly 3 Ballot, exactly 2 Proposal, 0 Fault, 1..9 steps, 4 int

check BrokenVoteAfterLostDisk { Fault = VoteAfterLostDisk implies safe }
  for exactly 3 Node, exactly 2 Ballot, exactly 2 Proposal, 1 Fault, 1..9 steps, 4 int

check BrokenIgnoreAccepted { Fault = IgnoreAccepted implies safe }
  for exactly 3 Node, exactly 2 Ballot, exactly 2 Proposal, 1 Fault, 1..8 steps, 4 int

check BrokenMinorityQuorum { Fault = MinorityQuorum implies safe }
  for exactly 3 Node, exactly 2 Ballot, exactly 2 Proposal, 1 Fault, 1..8 steps, 4 int

check BrokenIgnorePromise { Fault = IgnorePromise implies safe }
  for exactly 3 Node, exactly 2 Ballot, exactly 2 Proposal, 1 Fault, 1..8 steps, 4 int
