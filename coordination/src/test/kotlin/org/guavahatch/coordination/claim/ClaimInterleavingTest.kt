package org.guavahatch.coordination.claim

import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.withTimeoutOrNull
import org.guavahatch.coordination.fake.FaultyTable
import org.guavahatch.coordination.fake.TestTime
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

/**
 * Several entry instances claim the same idempotency key concurrently and one after another, on a table service whose
 * calls fail, lose responses and take effect late. A failure is reproduced with the seed in its message.
 */
class ClaimInterleavingTest {
    private class Simulation(val scope: TestScope, seed: Int) {
        val random = Random(seed)
        val table = FaultyTable(random, scope.backgroundScope)
        val claimStores = List(3) {
            ClaimStore(table, TestTime(scope), "entry$it", ClaimSettings(), scope.backgroundScope)
        }
        val dispatched = mutableListOf<String>()
        val replayed = mutableListOf<RecordedAnswer>()

        /** Makes one attempt as an entry instance does. Some winners crash; some release the claim before dispatch. */
        suspend fun attempt(key: ClaimKey, attempt: String, timeoutMilliseconds: Long) {
            val claimStore = claimStores.random(random)
            val result = withTimeoutOrNull(timeoutMilliseconds) { claimStore.claim(key, attempt) {} }
            when (result) {
                null -> claimStore.release(key, attempt, mayArriveLate = true)
                is ClaimResult.Answered -> replayed += result.answer
                ClaimResult.HeldElsewhere -> Unit
                ClaimResult.Won -> dispatchOrRelease(claimStore, key, attempt)
            }
        }

        private suspend fun dispatchOrRelease(claimStore: ClaimStore, key: ClaimKey, attempt: String) {
            delay(random.nextLong(0, 500))
            if (random.nextInt(3) == 0) {
                claimStore.release(key, attempt, mayArriveLate = false)
                return
            }
            dispatched += attempt
            if (random.nextInt(4) > 0) claimStore.record(key, attempt, RecordedAnswer(200, "text", attempt))
        }
    }

    @Test
    fun `at most one attempt is dispatched in any schedule`() {
        for (seed in 1..SCHEDULES) {
            runTest {
                val simulation = Simulation(this, seed)
                List(ATTEMPTS) { number ->
                    launch {
                        delay(simulation.random.nextLong(0, 2000))
                        simulation.attempt(KEY, "attempt$number", simulation.random.nextLong(10, 3000))
                    }
                }.joinAll()
                val dispatched = simulation.dispatched
                assertTrue(dispatched.size <= 1, "seed $seed: more than one attempt was dispatched: $dispatched")
                simulation.replayed.forEach {
                    assertEquals(dispatched.single(), it.body, "seed $seed: replayed the response of another attempt")
                }
            }
        }
    }

    @Test
    fun `a key without a dispatched attempt can be claimed after the faults have ended`() {
        for (seed in 1..SCHEDULES) {
            runTest {
                val simulation = Simulation(this, seed)
                List(ATTEMPTS) { number ->
                    launch { withTimeoutOrNull(500) { simulation.claimStores[0].claim(KEY, "attempt$number") {} } }
                }.joinAll()
                List(ATTEMPTS) { number ->
                    launch { simulation.claimStores[0].release(KEY, "attempt$number", mayArriveLate = true) }
                }.joinAll()
                simulation.table.isFaulty = false
                val result = withTimeoutOrNull(5000) { simulation.claimStores[1].claim(KEY, "last") {} }
                assertEquals(
                    ClaimResult.Won,
                    assertNotNull(result, "seed $seed: the key is still claimed"),
                    "seed $seed",
                )
            }
        }
    }

    private companion object {
        const val SCHEDULES = 400
        const val ATTEMPTS = 5
        val KEY = ClaimKey("route", "account", "key")
    }
}
