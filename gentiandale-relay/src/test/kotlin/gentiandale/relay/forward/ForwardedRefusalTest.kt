package gentiandale.relay.forward

import io.netty.handler.codec.http.DefaultHttpHeaders
import kotlin.test.Test
import kotlin.test.assertEquals

class ForwardedRefusalTest {
    private val headers = DefaultHttpHeaders()

    @Test
    fun `what one VM writes another one reads`() {
        val flags = listOf(false, true)
        for (refusal in flags.flatMap { unsent -> flags.map { ForwardedRefusal(unsent, it) } }) {
            headers.clear()
            refusal.writeTo(headers)
            assertEquals(refusal, ForwardedRefusal.read(headers))
        }
    }

    // Guards against retries that are taken back though a VM of the previous build has sent the request to a server.
    @Test
    fun `a refusal of the previous build, or with other words, states nothing`() {
        assertEquals(ForwardedRefusal(isUnsent = false, isUnreached = false), ForwardedRefusal.read(headers))
        headers.set("Gentiandale-Refusal", "unsen,%%, unreached")
        assertEquals(ForwardedRefusal(isUnsent = false, isUnreached = false), ForwardedRefusal.read(headers))
    }
}
