package gentiandale.cluster.directory

import gentiandale.core.Address
import gentiandale.core.Finding

/** Reply to the announcement of a backend server. */
public sealed interface AnnounceReply {
    /** The announcement is accepted. The server has to send its reports to the VM with the HTTP address [owner]. */
    public data class Accepted(val owner: Address) : AnnounceReply

    /** The announcement is refused: it contradicts the known facts of the server. */
    public data class Refused(val findings: List<Finding>) : AnnounceReply
}
