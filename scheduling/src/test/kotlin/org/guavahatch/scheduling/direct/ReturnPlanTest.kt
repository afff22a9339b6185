package org.guavahatch.scheduling.direct

import org.guavahatch.model.time.ManualClock
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class ReturnPlanTest {
    private val clock = ManualClock()
    private val plan = ReturnPlan(clock, Random(1))

    private fun demand(served: Double = 100.0, arrivals: Double = 0.0, waiting: Int = 0, gateways: Int = 1) =
        PoolDemand(served, arrivals, waiting, gateways)

    /** @property expected range of the delay of the first rejected request */
    private class Case(val name: String, val demand: PoolDemand, val latest: Long, val expected: LongRange)

    @Test
    fun `a caller is told the first time at which the pool has room, and about the latest useful one if it has none`() =
        listOf(
            Case("an empty pool", demand(), 2_000, 200L..500L),
            Case("a queue of a second", demand(waiting = 99), 2_000, 1_000L..1_250L),
            Case("arrivals take half", demand(arrivals = 50.0, waiting = 49), 2_000, 1_000L..1_250L),
            Case("arrivals take all", demand(arrivals = 100.0), 2_000, 1_750L..2_000L),
            Case("the queue is too long", demand(waiting = 300), 2_000, 1_750L..2_000L),
            Case("less time left than until the next bucket", demand(), 150, 113L..150L),
            Case("no time left", demand(), -5, 0L..0L),
        ).forEach { case ->
            val delay = ReturnPlan(clock, Random(1)).plan(0, case.demand, case.latest)
            assertTrue(delay in case.expected, "${case.name}: $delay ms")
        }

    @Test
    fun `callers that are rejected together are spread over the time at which the pool has room`() {
        val delays = List(100) { plan.plan(0, demand(), latest = 3_000) }
        for (time in 200L..1_200L step 100) {
            val returned = delays.count { it < time }
            assertTrue(returned <= time / 10, "$returned return within $time ms, ${time / 10} can be served by then")
        }
        assertTrue(delays.max() < 1_300, "the last one returns after ${delays.max()} ms, 1,000 ms are enough")
    }

    @Test
    fun `callers that are rejected together and find no room do not all return at the latest useful moment`() {
        val delays = List(100) { plan.plan(0, demand(arrivals = 100.0), latest = 2_000) }
        assertTrue(delays.groupBy { it / 50 }.values.all { it.size < 40 }, "$delays")
    }

    @Test
    fun `returns that peers report are counted, those of lower orders and of the past are not`() {
        plan.recordPeer("peer", mapOf(0 to listOf(0, 25, 25, 25), 5 to listOf(0, 0, 0, 0, 100)))
        clock.advance(60)
        val delay = plan.plan(0, demand(waiting = 25), latest = 3_000)
        assertTrue(delay + 60 in 1_000..1_250, "$delay ms, although peers plan returns until then")
        clock.advance(5_000)
        assertTrue(plan.plan(0, demand(), latest = 3_000) < 500, "returns of the past are counted")
        assertEquals(emptyMap(), plan.report.filterKeys { it != 0 })
    }

    @Test
    fun `what peers plan at the same moment is expected before they report it`() {
        val delays = List(10) { plan.plan(0, demand(gateways = 10), latest = 3_000) }
        assertTrue(delays.max() > 700, "10 of each of 10 gateways return within ${delays.max()} ms")
    }

    @Test
    fun `a report lists own returns by bucket from the current one`() {
        val delay = plan.plan(7, demand(waiting = 49), latest = 3_000)
        val bucket = (delay / ReturnPlan.BUCKET_MILLISECONDS).toInt()
        assertEquals(mapOf(7 to List(bucket) { 0 } + 1), plan.report)
        clock.advance(250)
        assertEquals(mapOf(7 to List(bucket - 1) { 0 } + 1), plan.report)
        clock.advance(5_000)
        assertEquals(emptyMap(), plan.report)
    }
}
