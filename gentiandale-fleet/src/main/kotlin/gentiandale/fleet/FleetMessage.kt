package gentiandale.fleet

import gentiandale.core.ServerId
import gentiandale.core.VmId
import gentiandale.core.backend.BackendRow
import gentiandale.core.backend.ServerLoad
import gentiandale.state.Document
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A message of the fleet channel. All of them may be lost, doubled and reordered. */
@Serializable
public sealed interface FleetMessage {
    /**
     * An entry VM says that it is there and what it has.
     *
     * @param version version of its configuration; 0 for none.
     * @param digest digest of the backend servers it knows.
     */
    @Serializable
    @SerialName("s")
    public data class Subscribe(val version: Long, val digest: Long) : FleetMessage

    /**
     * A control VM says what there is.
     *
     * @param version highest version of the configuration that it knows to be accepted; 0 for none.
     * @param controls control VMs that it has heard of lately.
     * @param entries number of entry VMs that it has heard of lately.
     */
    @Serializable
    @SerialName("n")
    public data class Notice(val version: Long, val controls: List<VmId>, val entries: Int) : FleetMessage

    /**
     * A control VM greets another one.
     *
     * @param loads load of all entry VMs on engines, as reported to the sender; empty if none was.
     */
    @Serializable
    @SerialName("g")
    public data class Greet(
        val version: Long,
        val digest: Long,
        val controls: List<VmId>,
        val loads: List<ServerLoad> = emptyList(),
    ) : FleetMessage

    /** What is known of [rows]. */
    @Serializable
    @SerialName("r")
    public data class Servers(val rows: List<BackendRow>) : FleetMessage

    /**
     * Load that the sending entry VM has placed on engines. Engines that are not listed have none.
     *
     * @param question number of the question what others have placed before this was heard; 0 if nothing is asked.
     */
    @Serializable
    @SerialName("l")
    public data class OwnLoad(val loads: List<ServerLoad>, val question: Long = 0) : FleetMessage

    /**
     * Load that the other entry VMs have placed on engines. Engines that are not listed are as told before.
     *
     * @param answered number of the last question that was heard before; 0 if this answers none.
     */
    @Serializable
    @SerialName("o")
    public data class OtherLoad(val loads: List<ServerLoad>, val answered: Long = 0) : FleetMessage

    /** The engine [server] does not answer the sending entry VM. */
    @Serializable
    @SerialName("u")
    public data class Suspect(val server: ServerId) : FleetMessage

    /** The engine [server] changes its stage or does not answer, and takes nothing for [forMs] milliseconds. */
    @Serializable
    @SerialName("p")
    public data class Pause(val server: ServerId, val forMs: Long) : FleetMessage

    /** Asks for the configuration if its version is above [above]. */
    @Serializable
    @SerialName("f")
    public data class Fetch(val above: Long) : FleetMessage

    /** The accepted configuration. */
    @Serializable
    @SerialName("d")
    public class Configuration(public val document: Document) : FleetMessage
}
