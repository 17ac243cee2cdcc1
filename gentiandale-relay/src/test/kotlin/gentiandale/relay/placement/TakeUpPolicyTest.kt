package gentiandale.relay.placement

import gentiandale.core.backend.OriginLookup
import gentiandale.core.backend.ServiceName
import gentiandale.core.backend.SoftwareVersion
import gentiandale.core.backend.StreamOrigin
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class TakeUpPolicyTest {
    private val drafts = ServiceName("drafts")
    private val notes = ServiceName("notes")
    private val v1 = SoftwareVersion("v1")
    private val v2 = SoftwareVersion("v2")
    private val origin = StreamOrigin(drafts, v1)

    private fun next(
        lookup: OriginLookup,
        services: Set<ServiceName> = setOf(drafts),
        versions: Set<SoftwareVersion> = setOf(v1),
    ) = TakeUpPolicy.next(lookup, services, versions)

    private fun notRecorded(versions: Set<SoftwareVersion>, isComplete: Boolean = true) =
        OriginLookup.NotRecorded(versions, isComplete)

    @Nested
    inner class GoesOn {
        @Test
        fun `at its recorded origin, whichever versions serve now`() =
            assertEquals(TakeUp.GoOn(origin, "vm"), next(OriginLookup.Found(origin, "vm"), versions = setOf(v2)))

        @Test
        fun `without a record at the only version that has served`() =
            assertEquals(origin, assertIs<TakeUp.GoOn>(next(notRecorded(setOf(v1)))).origin)
    }

    @Nested
    inner class IsRefused {
        private fun assertRefused(lookup: OriginLookup, services: Set<ServiceName> = setOf(drafts)) {
            assertIs<TakeUp.Refuse>(next(lookup, services))
        }

        @Test
        fun `if its route has moved to another service`() =
            assertRefused(OriginLookup.Found(origin, "vm"), setOf(notes))

        @Test
        fun `without a record if a control VM knows another version`() = assertRefused(notRecorded(setOf(v1, v2)))

        @Test
        fun `without a record if only a control VM knows the other version`() = assertRefused(notRecorded(setOf(v2)))

        @Test
        fun `without a record if control VMs may have forgotten a version`() =
            assertRefused(notRecorded(setOf(v1), isComplete = false))

        @Test
        fun `without a record if its route leads to several services`() =
            assertRefused(notRecorded(setOf(v1)), setOf(drafts, notes))

        @Test
        fun `if its id is that of two streams`() = assertRefused(OriginLookup.Ambiguous)

        @Test
        fun `if a control VM has not answered`() = assertRefused(OriginLookup.Unanswered)
    }
}
