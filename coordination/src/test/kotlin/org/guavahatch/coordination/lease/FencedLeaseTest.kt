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
    fun `no two holders get the same fencing number, whatever the table does`() {
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
                            lease.hold(resourceChecksFencing = random.nextBoolean())?.let {
                                held +=
                                    it to "holder$holder"
                            }
                            delay(random.nextLong(1, 4000))
                        }
                    }
                }.joinAll()
                held.groupBy({ it.first }, { it.second }).forEach { (number, holders) ->
                    assertEquals(1, holders.distinct().size, "seed $seed: $holders hold number $number")
                }
                assertTrue(held.isNotEmpty(), "seed $seed: nobody ever held the lease")
            }
        }
    }

    @Test
    fun `a new holder waits for a resource that does not check numbers`() = runTest {
        val table = FaultyTable(Random(1), backgroundScope).apply { isFaulty = false }
        val time = TestTime(this)
        val old = FencedLease(table, time, "endpoint", "old")
        val new = FencedLease(table, time, "endpoint", "new")
        assertEquals(1, old.hold(resourceChecksFencing = false))
        assertNull(new.hold(resourceChecksFencing = false), "the old lease is valid")
        delay(6000)
        assertTrue(!old.isValid(), "the old holder must not act any more")
        assertNull(new.hold(resourceChecksFencing = false), "a paused holder may still act")
        delay(3000)
        assertEquals(2, new.hold(resourceChecksFencing = false))
        assertNull(old.hold(resourceChecksFencing = true), "the successor lives")
    }

    private companion object {
        const val SCHEDULES = 300
    }
}
