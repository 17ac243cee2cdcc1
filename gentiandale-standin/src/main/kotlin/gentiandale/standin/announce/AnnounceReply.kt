package gentiandale.standin.announce

import kotlinx.serialization.Serializable

/** Response to an announcement: `host:port` of the entry VM to which to send further reports; null for any VM. */
@Serializable
internal data class AnnounceReply(val owner: String? = null)
