package org.guavahatch.coordination.relay

import org.guavahatch.model.time.Clock
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue

class RelayTest {
    private class ManualClock(var now: Long = 0) : Clock {
        override fun monotonicMilliseconds(): Long = now

        override fun wallMilliseconds(): Long = now
    }

    private data class Row(val key: String, val version: Long?, val isDeleted: Boolean = false)

    private val clock = ManualClock()

    private fun selection(name: String, readers: Int = 2) = ReaderSelection(name, "a", readers, clock)

    private fun peers(names: List<String>, version: Long = 10, zone: String = "a") =
        names.map { RelayPeer(it, zone, mapOf("t" to version)) }

    // Guards against zones without a reader, and against followers that all ask the same one.
    @Test
    fun `exactly the wanted number of gateways reads, and the others are spread over them`() {
        listOf(1 to 1, 6 to 2, 40 to 2, 100 to 3).forEach { (count, readers) ->
            val names = (1..count).map { "gateway-$it" }
            val elsewhere = peers(names.map { "other-$it" }, zone = "b")
            val sources = names.associateWith { selection(it, readers).source("t", 10, peers(names) + elsewhere) }
            val reading = sources.filterValues { it == PollSource.Store.READER }.keys
            assertEquals(minOf(count, readers), reading.size, "$count gateways")
            val asked = sources.values.filterIsInstance<PollSource.Reader>().groupingBy { it.name }.eachCount()
            assertTrue(asked.keys.all { it in reading }, "$count gateways ask $asked, reading are $reading")
            if (count >= 40) assertTrue(asked.values.all { it >= (count - readers) / readers / 2 }, "$asked")
        }
    }

    // Guards against a follower that goes back to a reader that has just failed, or to one that lacks a change.
    @Test
    fun `a reader that has failed or is behind is not asked`() {
        val names = (1..6).map { "gateway-$it" }
        val follower = names.first { selection(it).source("t", 10, peers(names)) is PollSource.Reader }
        val selection = selection(follower)
        val first = assertIs<PollSource.Reader>(selection.source("t", 10, peers(names)))
        selection.avoid(first.name)
        val second = assertIs<PollSource.Reader>(selection.source("t", 10, peers(names)))
        assertTrue(second != first)
        assertEquals(PollSource.Store.BEHIND, selection.source("t", 11, peers(names)))
        assertEquals(PollSource.Store.BEHIND, selection.source("other", 10, peers(names)))
        selection.avoid(second.name)
        assertEquals(PollSource.Store.AVOIDED, selection.source("t", 10, peers(names)))
        clock.now += ReaderSelection.AVOIDANCE_MILLISECONDS
        assertEquals(first, selection.source("t", 10, peers(names)))
    }

    // Guards against rows that a follower misses, or that come back after their deletion.
    @Test
    fun `the log tells the latest row of each key after a version, or that it cannot tell`() {
        val log = RelayLog<Row>(maximumRows = 3).apply { begin(10) }
        fun append(version: Long, vararg rows: Row) = log.append(rows.toList(), version, { it.key }, { it.version })
        append(14, Row("a", 12), Row("b", 13))
        append(16, Row("a", 15, isDeleted = true), Row("c", null))
        assertNull(log.changesAfter(9))
        assertEquals(listOf("b", "a", "c"), log.changesAfter(10)?.map { it.key })
        assertEquals(listOf(Row("a", 15, true), Row("c", null)), log.changesAfter(14))
        assertEquals(emptyList(), log.changesAfter(16))
        append(20, Row("d", 19))
        assertEquals(13, log.oldestVersion)
        assertNull(log.changesAfter(12))
        assertEquals(listOf("a", "c", "d"), log.changesAfter(13)?.map { it.key })
        log.begin(30)
        assertNull(log.changesAfter(20))
    }

    // Guards against confirmations that are later than what the store has confirmed.
    @Test
    fun `a reader confirms what the store has confirmed, and nothing when it does not know`() {
        val table = RelayedTable<Row>(clock, 1_750, { it.key }, { it.version })
        assertIs<RelayAnswer.Unavailable>(table.answer(0, 0, 0))
        clock.now = 1_000
        table.onRead(10, RelayConfirmation(990, clockGaps = 0))
        assertEquals(RelayAnswer.Changes(emptyList(), 10, -110, 1), table.answer(10, 1_100, 0))
        table.onStoreChanges(listOf(Row("a", 12)), 12, RelayConfirmation(2_000, clockGaps = 0))
        assertEquals(RelayAnswer.Changes(listOf(Row("a", 12)), 12, 900, 2), table.answer(10, 1_100, 0))
        assertEquals(RelayAnswer.Gone, table.answer(9, 1_100, 0))
        val refused = listOf<Pair<String, () -> RelayAnswer<Row>>>(
            "behind" to { table.answer(13, 1_100, 0) },
            "after a clock gap" to { table.answer(12, 1_100, 1) },
            "overdue" to {
                clock.now += 1_751
                table.answer(12, 1_100, 0)
            },
            "follower" to {
                table.onReaderChanges(emptyList(), 14)
                table.answer(12, 1_100, 0)
            },
            "failed" to {
                table.onStoreChanges(emptyList(), 15, RelayConfirmation(3_000, clockGaps = 0))
                table.onUnavailable()
                table.answer(12, 1_100, 0)
            },
        )
        refused.forEach { (name, answer) -> assertIs<RelayAnswer.Unavailable>(answer(), name) }
    }
}
