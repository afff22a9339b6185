package org.guavahatch.coordination.lease

import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import org.guavahatch.coordination.fake.FaultyTable
import org.guavahatch.coordination.fake.TestTime
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

class FencedLeaseTest {
    @Test
    fun `no two holders get the same fencing number on a table with random faults`() {
        for (seed in 1..SCHEDULES) {
            runTest {
                val random = Random(seed)
                val table = FaultyTable(random, backgroundScope)
                val held = mutableListOf<Pair<Long, String>>()
                List(4) { holder ->
                    launch {
                        val lease = FencedLease(table, TestTime(this@runTest), "endpoint", "holder$holder")
                        delay(random.nextLong(0, 10_000))
                        repeat(20) {
                            lease.acquireOrRenew(resourceChecksFencing = random.nextBoolean())?.let {
                                held +=
                                    it to "holder$holder"
                            }
                            delay(random.nextLong(1, 4000))
                        }
                    }
                }.joinAll()
                held.groupBy({ it.first }, { it.second }).forEach { (number, holders) ->
                    assertEquals(1, holders.distinct().size, "seed $seed: $holders hold fencing number $number")
                }
                assertTrue(held.isNotEmpty(), "seed $seed: no holder acquired the lease")
            }
        }
    }

    @Test
    fun `a new holder waits if the resource does not check fencing numbers`() = runTest {
        val table = FaultyTable(Random(1), backgroundScope).apply { isFaulty = false }
        val time = TestTime(this)
        val old = FencedLease(table, time, "endpoint", "old")
        val new = FencedLease(table, time, "endpoint", "new")
        assertEquals(1, old.acquireOrRenew(resourceChecksFencing = false))
        assertNull(new.acquireOrRenew(resourceChecksFencing = false), "the old lease has not expired")
        delay(6000)
        assertTrue(!old.isValid(), "the lease of the old holder has expired")
        assertNull(new.acquireOrRenew(resourceChecksFencing = false), "a paused old holder may still act")
        delay(3000)
        assertEquals(2, new.acquireOrRenew(resourceChecksFencing = false))
        assertNull(old.acquireOrRenew(resourceChecksFencing = true), "the lease of the successor has not expired")
    }

    private companion object {
        const val SCHEDULES = 300
    }
}
