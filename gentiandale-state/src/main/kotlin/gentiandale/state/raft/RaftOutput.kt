package gentiandale.state.raft

import gentiandale.state.log.StoredSnapshot

/**
 * Effects that a [RaftCore] requests, to be performed in this order: send [beforeSync]; make [vote], [installed] and
 * [entries] durable; send [afterSync]; apply [committed]; call [RaftCore.markDurable].
 *
 * @param vote vote to save; null if unchanged.
 * @param installed snapshot that replaces the log and the store state; null if there is none.
 * @param entries entries to save. They replace all saved entries from the first index on.
 * @param lastIndex last index of the log after [entries] are saved.
 * @param beforeSync messages that may be sent before anything is durable.
 * @param afterSync messages that depend on durable state, such as votes and acknowledgements.
 * @param committed newly committed entries to apply to the store.
 */
public class RaftOutput(
    public val vote: VoteState?,
    public val installed: StoredSnapshot?,
    public val entries: List<LogEntry>,
    public val lastIndex: Long,
    public val beforeSync: List<RaftEnvelope>,
    public val afterSync: List<RaftEnvelope>,
    public val committed: List<LogEntry>,
) {
    /** Whether there are no effects to perform. */
    public val isEmpty: Boolean
        get() = vote == null &&
            installed == null &&
            entries.isEmpty() &&
            beforeSync.isEmpty() &&
            afterSync.isEmpty() &&
            committed.isEmpty()
}
