package gentiandale.state.raft

import gentiandale.core.VmId
import gentiandale.state.StoreCommand
import gentiandale.state.StoreMachine
import gentiandale.state.SubmitOutcome
import gentiandale.state.at
import gentiandale.state.log.DurableLog
import gentiandale.state.log.RecoveredState
import gentiandale.state.log.StoredSnapshot
import org.slf4j.LoggerFactory
import java.io.IOException
import kotlin.random.Random

/** Sends agreement messages to other VMs. Delivery is not guaranteed. */
public fun interface AgreementSender {
    /** Sends [message] to the VM [to]. The message may be lost. */
    public fun send(to: VmId, message: AgreementMessage)
}

/**
 * One member of the Raft group; connects [RaftCore], [DurableLog] and [StoreMachine]. It is not thread-safe: a single
 * thread passes events to [tick], [receive] and [submit] and then calls [flush], which persists and publishes the
 * effects of all of them in one batch. If [flush] throws an [IOException], the replica must be closed and reopened.
 *
 * @param initial VMs whose members form the group when it is bootstrapped.
 */
public class Replica(
    vm: VmId,
    private val initial: List<VmId>,
    private val log: DurableLog,
    recovered: RecoveredState,
    private val settings: ReplicaSettings,
    random: Random,
    nowMs: Long,
    private val sender: AgreementSender,
) {
    private val logger = LoggerFactory.getLogger("gentiandale.state")
    private val self = Member(vm, recovered.voter)
    private val core = RaftCore(self, settings.raft, random, recovered, nowMs)
    private val groupBootstrap = GroupBootstrap(self, initial)
    private val founding = foundingState(recovered)?.let { GroupFounding(self, it, random, nowMs) }
    private val machine = StoreMachine().also { m -> recovered.snapshot?.let { m.restore(it.store) } }
    private val pending = HashMap<Long, PendingCommand>()
    private val announced = HashMap<VmId, Member>()
    private val announcedMs = HashMap<VmId, Long>()
    private var nowMs = nowMs
    private var replacement: PendingReplacement? = null
    private var applied = recovered.snapshot?.index ?: 0
    private var snapshotIndex = applied
    private var helloDueMs = nowMs
    private var lastLeader: Member? = null

    /** Known VMs with a data folder besides the initial voters; hello messages go to them too. */
    public var contacts: Set<VmId> = emptySet()

    /** Store state after the last entry that is applied on this member. */
    public val store: StoreMachine get() = machine

    /** Current status of this member. */
    public val status: ReplicaStatus
        get() = ReplicaStatus(
            self = self,
            group = core.group,
            leader = core.leader?.vm,
            isLeader = core.isLeader,
            term = core.term,
            confirmedMs = core.confirmedMs,
            appliedIndex = applied,
            membership = core.membership,
            isCurrentLeader = core.hasCommittedInTerm && applied >= core.commitIndex,
        )

    /** Advances the clock to [nowMs] and performs the work that is due. */
    public fun tick(nowMs: Long) {
        this.nowMs = maxOf(this.nowMs, nowMs)
        core.tick(nowMs)
        if (nowMs >= helloDueMs && !isVoterWithLeader()) sendHellos(nowMs)
        if (core.isEmpty) founding?.tick(nowMs)
        if (core.isLeader) updateMembership() else abandonReplacement()
    }

    /** Handles [message], received from the VM [from]. */
    public fun receive(from: VmId, message: AgreementMessage, nowMs: Long) {
        when (message) {
            is AgreementMessage.Raft -> core.receive(message.envelope, nowMs)
            is AgreementMessage.Hello -> {
                announced[message.member.vm] = message.member
                announcedMs[message.member.vm] = nowMs
                founding?.onHeard(message.member, nowMs)
                sender.send(from, AgreementMessage.HelloReply(message.member.voter, self, core.group))
            }
            is AgreementMessage.HelloReply -> {
                groupBootstrap.onReply(message)
                founding?.onHeard(message.member, nowMs)
            }
            is AgreementMessage.Founding -> founding?.receive(message.member, message.message)
        }
    }

    /**
     * Proposes [command] with the wall-clock time [wallMs]. Calls [done] at most once, when the outcome is known on
     * this member.
     */
    public fun submit(command: StoreCommand, nowMs: Long, wallMs: Long, done: (SubmitOutcome) -> Unit) {
        val index = core.propose(Payload.Command(command.at(wallMs)), nowMs)
        if (index == null) {
            done(SubmitOutcome.NotAccepted(notLeaderReason()))
        } else {
            pending[index] = PendingCommand(core.term, done)
        }
    }

    /** Starts the replacement [request] and calls [done] with its outcome. Only one replacement runs at a time. */
    public fun replaceVoter(request: VoterReplacement, done: (VoterOutcome) -> Unit) {
        val known = request.add?.let { vm -> announced[vm] ?: core.membership.voters.find { it.vm == vm } }
        when {
            !core.isLeader -> done(VoterOutcome.NotAccepted(notLeaderReason()))
            replacement != null -> done(VoterOutcome.NotAccepted("Another replacement is running."))
            request.add != null && known == null ->
                done(VoterOutcome.NotAccepted("${request.add} has not announced itself with a data folder."))
            else -> replacement = PendingReplacement(request, done)
        }
    }

    /** Performs the effects of all events since the last call. One sync of the log covers all of them. */
    @Throws(IOException::class)
    public fun flush() {
        founding?.let(::applyFounding)
        while (true) {
            val output = core.takeOutput()
            if (output.isEmpty) break
            output.beforeSync.forEach(::send)
            output.vote?.let(log::saveVote)
            output.installed?.let(::install)
            log.append(output.entries)
            output.afterSync.forEach(::send)
            output.committed.forEach(::apply)
            core.markDurable(output.lastIndex)
        }
        founding?.takeMessages()?.forEach { (to, message) ->
            sender.send(to, AgreementMessage.Founding(self, message))
        }
        if (applied - snapshotIndex >= settings.snapshotEntries) takeSnapshot()
        logLeaderChange()
    }

    /** Returns the state of a member that takes part in founding the group, or null if it must not. */
    private fun foundingState(recovered: RecoveredState): FoundingState? {
        val isUnused = recovered.vote == VoteState() && recovered.snapshot == null && recovered.entries.isEmpty()
        val mayStart = settings.formation is GroupFormation.AtFirstStart && isUnused && self.vm in initial
        return recovered.vote.founding ?: if (mayStart) FoundingState(initial.sorted()) else null
    }

    /** Passes the state to save to the core, and bootstraps the group once the first voters are decided. */
    private fun applyFounding(founding: GroupFounding) {
        core.saveFounding(founding.state)
        val decided = founding.decided ?: return
        if (core.isEmpty && self in decided.members) bootstrapGroup(decided.group, decided.members, founding.isFounder)
    }

    private fun send(envelope: RaftEnvelope) {
        sender.send(envelope.to.vm, AgreementMessage.Raft(envelope))
    }

    private fun install(snapshot: StoredSnapshot) {
        log.installSnapshot(snapshot)
        machine.restore(snapshot.store)
        applied = snapshot.index
        snapshotIndex = snapshot.index
        val skipped = pending.keys.filter { it <= applied }
        skipped.forEach {
            pending.remove(it)?.done?.invoke(SubmitOutcome.NotKnown("The leader changed during the command."))
        }
        logger.info("Installed a snapshot from the leader that covers entries up to {}.", applied)
    }

    private fun apply(entry: LogEntry) {
        val reply = (entry.payload as? Payload.Command)?.let { machine.apply(it.command) }
        applied = entry.index
        val waiting = pending.remove(entry.index) ?: return
        val proposedHere = reply != null && waiting.term == entry.term
        val outcome =
            if (proposedHere) SubmitOutcome.Done(reply) else SubmitOutcome.NotAccepted("Overwritten by a new leader.")
        waiting.done(outcome)
    }

    private fun takeSnapshot() {
        val (term, membership) = core.positionAt(applied)
        val snapshot = StoredSnapshot(applied, term, membership, machine.snapshot())
        val keepFrom = maxOf(1, applied - settings.keptEntries)
        log.saveSnapshot(snapshot, keepFrom)
        core.onCompacted(snapshot, keepFrom)
        snapshotIndex = applied
    }

    private fun sendHellos(nowMs: Long) {
        helloDueMs = nowMs + settings.helloMs
        if (core.group == null && settings.formation is GroupFormation.AfterAllReplies) {
            groupBootstrap.founders()?.let { bootstrapGroup(GroupId("g-${self.voter}"), it) }
        }
        val others = initial + contacts + core.membership.voters.map { it.vm }
        others.distinct().filter { it != self.vm }.forEach { sender.send(it, AgreementMessage.Hello(self)) }
    }

    /** Returns false also for a voter without a known leader, as it may have been removed without being notified. */
    private fun isVoterWithLeader() = core.membership.isVoter(self.voter) && (core.isLeader || core.leader != null)

    private fun bootstrapGroup(group: GroupId, members: List<Member>, campaign: Boolean = true) {
        logger.info("Bootstrapping group {} with members {}.", group, members)
        core.bootstrap(group, members, campaign)
    }

    private fun updateMembership() {
        settings.voterReplacement?.let(::replaceAutomatically)
        val running = replacement
        if (running != null &&
            core.membershipIndex <= core.commitIndex &&
            isComplete(core.membership, announced, running.request)
        ) {
            replacement = null
            running.done(VoterOutcome.Done(core.membership))
        }
        val members = VoterCandidates(announced, core::isCaughtUp, ::isAbandoned)
        val next = nextMembership(core.membership, members, replacement?.request) ?: return
        if (core.changeMembership(next) != null) logger.info("Proposed membership change to {}.", next)
    }

    /** Starts the replacement that [automatic] asks for; abandons it if the VM to add stops sending hello messages. */
    private fun replaceAutomatically(automatic: VoterReplacementPolicy) {
        val running = replacement
        if (running == null) {
            val seen = announced.values.filter { nowMs - (announcedMs[it.vm] ?: 0) <= automatic.helloLifetimeMs }
            val request = automatic.next(core.membership, self, seen, core::sinceReplyMs) ?: return
            logger.info("Starting automatic voter replacement: {}.", request)
            replacement = PendingReplacement(request) { logger.info("Automatic voter replacement ended: {}.", it) }
        } else if (running.request.add?.let { nowMs - (announcedMs[it] ?: nowMs) > NEWCOMER_TIMEOUT_MS } == true) {
            abandonReplacement()
        }
    }

    /** Returns whether the learner [member] has stopped answering and is not part of the running replacement. */
    private fun isAbandoned(member: Member) = settings.voterReplacement != null &&
        member.vm != replacement?.request?.add &&
        core.sinceReplyMs(member) > NEWCOMER_TIMEOUT_MS

    private fun abandonReplacement() {
        replacement?.done?.invoke(
            VoterOutcome.NotKnown("The replacement was abandoned: leader changed or new VM timed out."),
        )
        replacement = null
    }

    private fun notLeaderReason(): String {
        val leader = core.leader?.takeIf { !core.isLeader } ?: return "No majority of voters is reachable."
        return "The leader is ${leader.vm}, not this VM."
    }

    private fun logLeaderChange() {
        if (core.leader == lastLeader) return
        lastLeader = core.leader
        logger.info("{}: leader is now {} in term {}.", self, lastLeader ?: "unknown", core.term)
    }

    private companion object {
        /** Time without a message from a VM to add, or from a learner, after which it is abandoned. */
        const val NEWCOMER_TIMEOUT_MS = 4_000L
    }

    private class PendingCommand(val term: Long, val done: (SubmitOutcome) -> Unit)

    private class PendingReplacement(val request: VoterReplacement, val done: (VoterOutcome) -> Unit)
}
