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
 * Several entry instances claim the same idempotency keys at the same time and after each other, on a table service
 * whose calls fail, lose answers and take effect late. The seed in a failure's message reproduces it.
 */
class ClaimInterleavingTest {
    private class Run(val scope: TestScope, seed: Int) {
        val random = Random(seed)
        val table = FaultyTable(random, scope.backgroundScope)
        val keepers = List(3) {
            ClaimKeeper(table, TestTime(scope), "entry$it", ClaimSettings(), scope.backgroundScope)
        }
        val dispatched = mutableListOf<String>()
        val replayed = mutableListOf<RecordedAnswer>()

        /** One attempt of a caller, as an entry instance makes it. Some winners die, some give up before dispatch. */
        suspend fun attempt(key: ClaimKey, attempt: String, patienceMs: Long) {
            val keeper = keepers.random(random)
            val result = withTimeoutOrNull(patienceMs) { keeper.claim(key, attempt) {} }
            when (result) {
                null -> keeper.release(key, attempt, mayArriveLate = true)
                is ClaimResult.Answered -> replayed += result.answer
                ClaimResult.HeldElsewhere -> Unit
                ClaimResult.Won -> win(keeper, key, attempt)
            }
        }

        private suspend fun win(keeper: ClaimKeeper, key: ClaimKey, attempt: String) {
            delay(random.nextLong(0, 500))
            if (random.nextInt(3) == 0) {
                keeper.release(key, attempt, mayArriveLate = false)
                return
            }
            dispatched += attempt
            if (random.nextInt(4) > 0) keeper.record(key, attempt, RecordedAnswer(200, "text", attempt))
        }
    }

    @Test
    fun `no schedule lets two attempts dispatch`() {
        for (seed in 1..SCHEDULES) {
            runTest {
                val run = Run(this, seed)
                List(ATTEMPTS) { number ->
                    launch {
                        delay(run.random.nextLong(0, 2000))
                        run.attempt(KEY, "attempt$number", run.random.nextLong(10, 3000))
                    }
                }.joinAll()
                assertTrue(run.dispatched.size <= 1, "seed $seed: ${run.dispatched} were dispatched")
                run.replayed.forEach { assertEquals(run.dispatched.single(), it.body, "seed $seed: wrong replay") }
            }
        }
    }

    @Test
    fun `after the faults have ended a key without dispatch can be claimed`() {
        for (seed in 1..SCHEDULES) {
            runTest {
                val run = Run(this, seed)
                List(ATTEMPTS) { number ->
                    launch { withTimeoutOrNull(500) { run.keepers[0].claim(KEY, "attempt$number") {} } }
                }.joinAll()
                List(ATTEMPTS) { number ->
                    launch { run.keepers[0].release(KEY, "attempt$number", mayArriveLate = true) }
                }.joinAll()
                run.table.isFaulty = false
                val result = withTimeoutOrNull(5000) { run.keepers[1].claim(KEY, "last") {} }
                assertEquals(ClaimResult.Won, assertNotNull(result, "seed $seed: the key stays claimed"), "seed $seed")
            }
        }
    }

    private companion object {
        const val SCHEDULES = 400
        const val ATTEMPTS = 5
        val KEY = ClaimKey("route", "account", "key")
    }
}
