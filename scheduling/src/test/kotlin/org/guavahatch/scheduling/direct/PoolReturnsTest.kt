package org.guavahatch.scheduling.direct

import org.guavahatch.model.time.ManualClock
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against rejecting callers that could be served, and against planning returns that do not come. */
class PoolReturnsTest {
    private val clock = ManualClock()
    private val returns = PoolReturns(clock, Random(1))

    /** 100 ms between dispatches. */
    private val forecast = QueueForecast().apply {
        (0L..10L).forEach { recordDispatch(it * 100, hasMoreWaiting = true) }
    }
    private val first = waitingRequest(0, arrivedAt = 1_000, patience = 2_000).copy(deadline = 4_000)
    private val other = first.copy(rank = 1)

    private class Case(
        val name: String,
        val request: WaitingRequest,
        val ahead: Int,
        val now: Long,
        val isKept: Boolean,
    )

    @Test
    fun `a request waits while it can be served, a repeated one whatever the forecast says`() {
        repeat(500) {
            returns.recordService(first.order, 1_500)
            returns.recordService(other.order, 500)
        }
        listOf(
            Case("served before its deadline", first, ahead = 10, now = 1_000, isKept = true),
            Case("less than its service time left", first, ahead = 16, now = 1_000, isKept = false),
            Case("an order of short requests", other, ahead = 19, now = 1_000, isKept = true),
            Case("after its patience", other, ahead = 21, now = 1_000, isKept = false),
            Case("repeated, a long queue", first.copy(isRepeated = true), ahead = 500, now = 1_000, isKept = true),
            Case("repeated, too late", first.copy(isRepeated = true), ahead = 0, now = 2_600, isKept = false),
        ).forEach {
            val isKept = returns.canServeInTime(it.request, forecast, it.ahead, aheadOfOrder = it.ahead, it.now)
            assertEquals(it.isKept, isKept, it.name)
        }
    }

    @Test
    fun `only first rejections are expected back`() {
        returns.retryAfter(first.copy(isRepeated = true), slots = 8, waiting = 0, gateways = 1)
        assertEquals(emptyMap(), returns.plan.report)
        returns.retryAfter(first, slots = 8, waiting = 0, gateways = 1)
        assertEquals(1, returns.plan.report.getValue(first.order).sum())
    }
}
