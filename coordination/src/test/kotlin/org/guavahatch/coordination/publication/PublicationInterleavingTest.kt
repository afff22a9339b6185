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

/** Operators publish concurrently through a table service whose calls fail, lose responses and take effect late. */
class PublicationInterleavingTest {
    @Test
    fun `results of publications agree with a history without gaps or duplicates`() {
        for (seed in 1..SCHEDULES) {
            runTest {
                val random = Random(seed)
                val table = FaultyTable(random, backgroundScope)
                val objects = FakeObjects()
                val store = ConfigurationStore(table, objects)
                val publisher = ConfigurationPublisher(table, objects, TestTime(this), retryTimeoutMilliseconds = 2000)
                val results = HashMap<String, PublicationResult>()
                List(OPERATORS) { operator ->
                    launch {
                        delay(random.nextLong(0, 3000))
                        val base = store.head().getOrNull()?.publication?.version ?: ConfigurationVersion.NONE
                        val id = "operator$operator"
                        val text = ConfigurationSamples.text("pool-$operator")
                        results[id] = publisher.publish(PublicationRequest("test", text, base, id, id, ""))
                    }
                }.joinAll()
                delay(LATEST_WRITE_MS)
                table.isFaulty = false
                check(seed, results, store.history().getOrNull().orEmpty())
            }
        }
    }

    private fun check(seed: Int, results: Map<String, PublicationResult>, history: List<Publication>) {
        assertEquals((1L..history.size).toList(), history.map { it.version.number }, "seed $seed")
        val accepted = history.map { it.publicationId }
        assertEquals(accepted.distinct(), accepted, "seed $seed: a publication was accepted twice")
        results.forEach { (id, result) ->
            when (result) {
                is PublicationResult.Accepted -> assertTrue(id in accepted, "seed $seed: accepted $id is missing")
                is PublicationResult.Unknown -> Unit
                else -> assertTrue(id !in accepted, "seed $seed: $id is in the history but reported as $result")
            }
        }
    }

    private companion object {
        const val SCHEDULES = 400
        const val OPERATORS = 5
        const val LATEST_WRITE_MS = 5000L
    }
}
