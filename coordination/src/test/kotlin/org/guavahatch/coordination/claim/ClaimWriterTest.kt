package org.guavahatch.coordination.claim

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.test.runTest
import org.guavahatch.coordination.fake.FaultyTable
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals

class ClaimWriterTest {
    @Test
    fun `one insert of a key succeeds, also if a batch receives the key twice`() = runTest {
        val table = FaultyTable(Random(1), backgroundScope).apply { isFaulty = false }
        val writer = ClaimWriter(table, ClaimSettings(), backgroundScope)
        val keys = listOf("a", "b", "a", "c", "b", "a")
        val inserted = keys.map { key -> async { key to writer.insert(key, "value").getOrNull() } }.awaitAll()
        keys.distinct().forEach { key ->
            assertEquals(1, inserted.count { it.first == key && it.second == true }, "successful inserts of $key")
        }
    }

    @Test
    fun `all of many concurrent inserts succeed and are written`() = runTest {
        val table = FaultyTable(Random(1), backgroundScope).apply { isFaulty = false }
        val writer = ClaimWriter(table, ClaimSettings(maximumBatchSize = 50), backgroundScope)
        val inserted = List(1000) { number -> async { writer.insert("key$number", "value").getOrNull() } }.awaitAll()
        assertEquals(List(1000) { true }, inserted)
        assertEquals(1000, table.written.map { it.first }.distinct().size)
    }
}
