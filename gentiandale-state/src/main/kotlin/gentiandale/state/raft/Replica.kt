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

/** Sends [message] to a VM. It may get lost. */
public fun interface AgreementSender {
    /** Sends [message] to [to]. */
    public fun send(to: VmId, message: AgreementMessage)
}

/**
 * One member of the group: [RaftCore], [DurableLog] and [StoreMachine] put together. It is driven by one thread:
 * events go in by [tick], [receive] and [submit], and [flush] makes their effects durable and known, many events at
 * once. After an [IOException] of [flush] it must be started anew.
 *
 * @param initial VMs that found the group.
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
    private val formation = Formation(self, initial)
    private val machine = StoreMachine().also { m -> recovered.snapshot?.let { m.restore(it.store) } }
    private val pending = HashMap<Long, Pending>()
    private val present = HashMap<VmId, Member>()
    private val presentMs = HashMap<VmId, Long>()
    private var nowMs = nowMs
    private var wish: PendingWish? = null
    private var applied = recovered.snapshot?.index ?: 0
    private var snapshotIndex = applied
    private var helloDueMs = nowMs
    private var lastLeader: Member? = null

    /** Other VMs with a data folder that are known to be there, besides the initial voters. */
    public var contacts: Set<VmId> = emptySet()

    /** State of the store as applied here. */
    public val store: StoreMachine get() = machine

    /** Present position of this member. */
    public val status: ReplicaStatus
        get() = ReplicaStatus(
            self = self,
            leader = core.leader?.vm,
            isLeader = core.isLeader,
            term = core.term,
            confirmedMs = core.confirmedMs,
            appliedIndex = applied,
            membership = core.membership,
        )

    /** Notes that time has passed. */
    public fun tick(nowMs: Long) {
        this.nowMs = maxOf(this.nowMs, nowMs)
        core.tick(nowMs)
        if (nowMs >= helloDueMs && !isSettledVoter()) greet(nowMs)
        if (core.isLeader) arrangeMembership() else giveUpWish()
    }

    /** Handles [message] of [from]. */
    public fun receive(from: VmId, message: AgreementMessage, nowMs: Long) {
        when (message) {
            is AgreementMessage.Letter -> core.receive(message.letter, nowMs)
            is AgreementMessage.Hello -> {
                present[message.member.vm] = message.member
                presentMs[message.member.vm] = nowMs
                sender.send(from, AgreementMessage.HelloReply(message.member.voter, self, core.group))
            }
            is AgreementMessage.HelloReply -> formation.onReply(message)
        }
    }

    /** Takes [command] with the time [wallMs]; [done] gets the outcome, once, if it becomes known here. */
    public fun submit(command: StoreCommand, nowMs: Long, wallMs: Long, done: (SubmitOutcome) -> Unit) {
        val index = core.propose(Payload.Command(command.at(wallMs)), nowMs)
        if (index == null) {
            done(SubmitOutcome.NotAccepted(notLeading()))
        } else {
            pending[index] = Pending(core.term, done)
        }
    }

    /** Begins to fulfil [wanted]; [done] gets whether it came true, or null if that is not known. */
    public fun replaceVoter(wanted: VoterWish, done: (VoterOutcome) -> Unit) {
        val known = wanted.add?.let { vm -> present[vm] ?: core.membership.voters.find { it.vm == vm } }
        when {
            !core.isLeader -> done(VoterOutcome.NotAccepted(notLeading()))
            wish != null -> done(VoterOutcome.NotAccepted("Another replacement is running."))
            wanted.add != null && known == null ->
                done(VoterOutcome.NotAccepted("${wanted.add} has not said that it is there with a data folder."))
            else -> wish = PendingWish(wanted, done)
        }
    }

    /** Carries out the effects of all events before, with one sync of the log for all of them. */
    @Throws(IOException::class)
    public fun flush() {
        while (true) {
            val output = core.takeOutput()
            if (output.isEmpty) break
            output.early.forEach(::send)
            output.vote?.let(log::saveVote)
            output.installed?.let(::install)
            log.append(output.entries)
            output.late.forEach(::send)
            output.committed.forEach(::apply)
            core.saved(output.lastIndex)
        }
        if (applied - snapshotIndex >= settings.snapshotEntries) takeSnapshot()
        logLeader()
    }

    private fun send(letter: RaftLetter) {
        sender.send(letter.to.vm, AgreementMessage.Letter(letter))
    }

    private fun install(snapshot: StoredSnapshot) {
        log.installSnapshot(snapshot)
        machine.restore(snapshot.store)
        applied = snapshot.index
        snapshotIndex = snapshot.index
        val skipped = pending.keys.filter { it <= applied }
        skipped.forEach { pending.remove(it)?.done?.invoke(SubmitOutcome.NotKnown("The leader has changed.")) }
        logger.info("Installed a snapshot up to entry {}.", applied)
    }

    private fun apply(entry: LogEntry) {
        val reply = (entry.payload as? Payload.Command)?.let { machine.apply(it.command) }
        applied = entry.index
        val waiting = pending.remove(entry.index) ?: return
        val own = reply != null && waiting.term == entry.term
        val outcome = if (own) SubmitOutcome.Done(reply) else SubmitOutcome.NotAccepted("The leader has changed.")
        waiting.done(outcome)
    }

    private fun takeSnapshot() {
        val (term, membership) = core.positionAt(applied)
        val snapshot = StoredSnapshot(applied, term, membership, machine.snapshot())
        val keepFrom = maxOf(1, applied - settings.keptEntries)
        log.saveSnapshot(snapshot, keepFrom)
        core.compacted(snapshot, keepFrom)
        snapshotIndex = applied
    }

    private fun greet(nowMs: Long) {
        helloDueMs = nowMs + settings.helloMs
        if (core.group == null && settings.mayFound) formation.founders()?.let(::found)
        val others = initial + contacts + core.membership.voters.map { it.vm }
        others.distinct().filter { it != self.vm }.forEach { sender.send(it, AgreementMessage.Hello(self)) }
    }

    /** A voter that hears no leader may have been replaced without having been told. */
    private fun isSettledVoter() = core.membership.isVoter(self.voter) && (core.isLeader || core.leader != null)

    private fun found(members: List<Member>) {
        logger.info("Founding a group of {}.", members)
        core.found(GroupId("g-${self.voter}"), members)
    }

    private fun arrangeMembership() {
        settings.voters?.let(::replaceByItself)
        val wanted = wish
        if (wanted != null &&
            core.membershipIndex <= core.commitIndex &&
            isFulfilled(core.membership, present, wanted.wish)
        ) {
            wish = null
            wanted.done(VoterOutcome.Done(core.membership))
        }
        val members = Candidates(present, core::isCaughtUp, ::isAbandoned)
        val next = nextMembership(core.membership, members, wish?.wish) ?: return
        if (core.changeMembership(next) != null) logger.info("Changing the voters to {}.", next)
    }

    /** Makes the wish of [automatic] the present one, and drops it again when its newcomer has gone. */
    private fun replaceByItself(automatic: AutomaticVoters) {
        val running = wish
        if (running == null) {
            val seen = present.values.filter { nowMs - (presentMs[it.vm] ?: 0) <= automatic.presentMs }
            val wanted = automatic.wish(core.membership, self, seen, core::silenceMs) ?: return
            logger.info("Replacing voters by itself: {}.", wanted)
            wish = PendingWish(wanted) { logger.info("Replacement of voters ended: {}.", it) }
        } else if (running.wish.add?.let { nowMs - (presentMs[it] ?: nowMs) > WISH_LIFETIME_MS } == true) {
            giveUpWish()
        }
    }

    /** Returns whether the learner [member] has been silent for long and nobody waits for it. */
    private fun isAbandoned(member: Member) =
        settings.voters != null && member.vm != wish?.wish?.add && core.silenceMs(member) > WISH_LIFETIME_MS

    private fun giveUpWish() {
        wish?.done?.invoke(VoterOutcome.NotKnown("The leader has changed."))
        wish = null
    }

    private fun notLeading(): String {
        val leader = core.leader?.takeIf { !core.isLeader } ?: return "No majority of the voters answers."
        return "${leader.vm} leads."
    }

    private fun logLeader() {
        if (core.leader == lastLeader) return
        lastLeader = core.leader
        logger.info("{} follows {} in term {}.", self, lastLeader ?: "nobody", core.term)
    }

    private companion object {
        /** Time after which a newcomer that says nothing is given up, in milliseconds. */
        const val WISH_LIFETIME_MS = 4_000L
    }

    private class Pending(val term: Long, val done: (SubmitOutcome) -> Unit)

    private class PendingWish(val wish: VoterWish, val done: (VoterOutcome) -> Unit)
}
