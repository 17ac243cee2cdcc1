package gentiandale.daemon.logs

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.encoder.PatternLayoutEncoder
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.ConsoleAppender
import ch.qos.logback.core.encoder.Encoder
import gentiandale.core.VmId
import gentiandale.daemon.settings.LogFormat
import net.logstash.logback.encoder.LogstashEncoder
import org.slf4j.Logger
import org.slf4j.LoggerFactory

private const val TEXT_PATTERN = "%d{HH:mm:ss.SSS} %-5level %-20logger %msg%n%nopex"

/** Configures logging to standard output in [format]. JSON lines include the name of the [vm]. */
internal fun setUpLogs(format: LogFormat, vm: VmId) {
    val context = LoggerFactory.getILoggerFactory() as LoggerContext
    context.reset()
    val console = ConsoleAppender<ILoggingEvent>()
    console.context = context
    console.encoder = encoderOf(format, vm, context)
    console.start()
    context.getLogger(Logger.ROOT_LOGGER_NAME).apply {
        level = Level.WARN
        addAppender(console)
    }
    context.getLogger("gentiandale").level = Level.INFO
}

/** Returns a started encoder for [format]. */
internal fun encoderOf(format: LogFormat, vm: VmId, context: LoggerContext): Encoder<ILoggingEvent> = when (format) {
    LogFormat.TEXT -> PatternLayoutEncoder().also {
        it.context = context
        it.pattern = TEXT_PATTERN
        it.start()
    }
    LogFormat.JSON -> LogstashEncoder().also {
        it.context = context
        it.customFields = """{"vm":"$vm"}"""
        it.start()
    }
}
