package gentiandale.daemon.settings

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialInfo

/** Inclusive bounds of an integer setting. [SchemaCheck] reads them from the serial descriptor. */
@OptIn(ExperimentalSerializationApi::class)
@SerialInfo
@Target(AnnotationTarget.PROPERTY)
internal annotation class InRange(val min: Long, val max: Long)
