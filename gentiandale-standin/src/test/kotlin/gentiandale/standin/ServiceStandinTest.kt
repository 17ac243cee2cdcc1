package gentiandale.standin

import com.linecorp.armeria.common.HttpStatus
import gentiandale.standin.fault.Fault
import gentiandale.standin.service.ServiceStandin
import org.junit.jupiter.api.Nested
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

class ServiceStandinTest : StandinFixture() {
    @Nested
    inner class Faults {
        @Test
        fun `a call without faults is run and says nothing about the server`() {
            val answer = post(service(), "/orders", "{}")
            assertEquals(HttpStatus.OK, answer.status())
            assertNull(answer.headers().get("server-leaving"))
        }

        @Test
        fun `leaving is said in the answer to a call that is run`() {
            val answer = post(service(Fault.LEAVING), "/orders", "{}")
            assertEquals(HttpStatus.OK, answer.status())
            assertEquals("1", answer.headers().get("server-leaving"))
        }

        @Test
        fun `a rest refuses the call with its time in seconds, and the call is not run`() {
            val service = service(Fault.REST)
            val answer = post(service, "/orders", "{}", key = "k1")
            assertEquals(HttpStatus.SERVICE_UNAVAILABLE, answer.status())
            assertEquals("2.0", answer.headers().get("retry-after"))
            assertTrue("k1" !in get(service, "/standin/report"))
        }

        @Test
        fun `an endless body goes on until the caller closes`() {
            val service: ServiceStandin = service(Fault.ENDLESS)
            Socket("127.0.0.1", service.port).use { socket ->
                socket.getOutputStream().write("GET /orders HTTP/1.1\r\nhost: h\r\n\r\n".toByteArray())
                assertEquals(READ_BYTES, socket.getInputStream().readNBytes(READ_BYTES).size)
            }
        }
    }

    private companion object {
        const val READ_BYTES = 1_000_000
    }
}
