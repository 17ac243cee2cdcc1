package gentiandale.cluster

import gentiandale.cluster.spread.ConfigurationFile
import gentiandale.cluster.spread.ConfigurationState
import gentiandale.cluster.spread.SavedConfiguration
import gentiandale.core.RecordId
import gentiandale.core.StoredRecord
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path
import kotlin.experimental.xor
import kotlin.io.path.readBytes
import kotlin.io.path.writeBytes
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class ConfigurationFileTest {
    @TempDir
    lateinit var folder: Path

    private val file by lazy { ConfigurationFile(folder) }
    private val path by lazy { folder.resolve("configuration.spread") }
    private val id = RecordId("rank", "urgent")
    private val state = ConfigurationState(7, 2, listOf(RecordChange(id, 5, StoredRecord(id, 1, 3, "order: 0"))))

    @Test
    fun `loads the state that was saved last`() {
        assertEquals(SavedConfiguration.Absent, file.load())
        file.save(ConfigurationState(1))
        file.save(state)
        assertEquals(SavedConfiguration.Present(state), file.load())
    }

    @Test
    fun `reports corruption when any byte is flipped or the file is truncated`() {
        file.save(state)
        val whole = path.readBytes()
        whole.indices.forEach { i ->
            path.writeBytes(whole.clone().also { it[i] = it[i] xor 1 })
            assertIs<SavedConfiguration.Corrupt>(file.load(), "bit flipped in byte $i")
            path.writeBytes(whole.copyOf(i))
            assertIs<SavedConfiguration.Corrupt>(file.load(), "truncated to $i bytes")
        }
    }
}
