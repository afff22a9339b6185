package org.guavahatch.coordination.publication

import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import org.guavahatch.coordination.fake.FakeObjects
import org.guavahatch.coordination.fake.FaultyTable
import org.guavahatch.coordination.fake.TestTime
import org.guavahatch.model.configuration.ConfigurationVersion
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Operators race each other on a table service whose calls fail, lose answers and take effect late. */
class PublicationInterleavingTest {
    @Test
    fun `what operators are told agrees with the history, which is one line`() {
        for (seed in 1..SCHEDULES) {
            runTest {
                val random = Random(seed)
                val table = FaultyTable(random, backgroundScope)
                val objects = FakeObjects()
                val store = ConfigurationStore(table, objects)
                val publisher = ConfigurationPublisher(table, objects, TestTime(this), settleMilliseconds = 2000)
                val told = HashMap<String, PublicationResult>()
                List(OPERATORS) { operator ->
                    launch {
                        delay(random.nextLong(0, 3000))
                        val base = store.head().getOrNull()?.publication?.version ?: ConfigurationVersion.NONE
                        val id = "operator$operator"
                        val text = ConfigurationSamples.text("pool-$operator")
                        told[id] = publisher.publish(PublicationRequest("test", text, base, id, id, ""))
                    }
                }.joinAll()
                delay(LATEST_WRITE_MS)
                table.isFaulty = false
                check(seed, told, store.history().getOrNull().orEmpty())
            }
        }
    }

    private fun check(seed: Int, told: Map<String, PublicationResult>, history: List<Publication>) {
        assertEquals((1L..history.size).toList(), history.map { it.version.number }, "seed $seed")
        val accepted = history.map { it.publicationId }
        assertEquals(accepted.distinct(), accepted, "seed $seed: a publication was accepted twice")
        told.forEach { (id, result) ->
            when (result) {
                is PublicationResult.Accepted -> assertTrue(id in accepted, "seed $seed: $id was told accepted")
                is PublicationResult.Unknown -> Unit
                else -> assertTrue(id !in accepted, "seed $seed: $id was told $result")
            }
        }
    }

    private companion object {
        const val SCHEDULES = 400
        const val OPERATORS = 5
        const val LATEST_WRITE_MS = 5000L
    }
}
