package gentiandale.state.raft

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Message on the agreement channel between VMs with a data folder. */
@Serializable
public sealed interface AgreementMessage {
    /** Carries a Raft message. */
    @Serializable
    @SerialName("l")
    public data class Raft(
        @SerialName("letter") val envelope: RaftEnvelope,
    ) : AgreementMessage

    /** Announces [member], which is not a voter or knows no leader. */
    @Serializable
    @SerialName("h")
    public data class Hello(val member: Member) : AgreementMessage

    /**
     * Reply to the [Hello] of the data folder [to].
     *
     * @param group group that [member] belongs to; null if it has never been in one.
     */
    @Serializable
    @SerialName("hr")
    public data class HelloReply(val to: VoterId, val member: Member, val group: GroupId?) : AgreementMessage

    /** Carries a [message] of [member] about founding the group. */
    @Serializable
    @SerialName("f")
    public data class Founding(val member: Member, val message: FoundingMessage) : AgreementMessage
}
