package gentiandale.daemon.logs

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.LoggingEvent
import gentiandale.core.VmId
import gentiandale.daemon.settings.LogFormat
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.junit.jupiter.api.Nested
import org.slf4j.LoggerFactory
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

class LogSetupTest {
    private val context = LoggerFactory.getILoggerFactory() as LoggerContext

    private fun line(format: LogFormat): String {
        val logger = context.getLogger("gentiandale.route")
        val event = LoggingEvent("test", logger, Level.INFO, "Placed {}.", null, arrayOf("r1"))
        return encoderOf(format, VmId("vm-a1"), context).encode(event).decodeToString()
    }

    @Nested
    inner class Format {
        @Test
        fun `text has the level, the logger and the message`() {
            assertContains(line(LogFormat.TEXT), Regex("INFO +gentiandale.route +Placed r1\\."))
        }

        @Test
        fun `JSON is one object with the logger, the message and the VM`() {
            val fields = Json.parseToJsonElement(line(LogFormat.JSON)).jsonObject.mapValues {
                it.value.jsonPrimitive.content
            }
            assertEquals(
                listOf("gentiandale.route", "Placed r1.", "vm-a1"),
                listOf("logger_name", "message", "vm").map(fields::get),
            )
        }
    }
}
