package org.guavahatch.scheduling.zone

import org.guavahatch.scheduling.direct.WaitingRequest
import kotlin.test.Test
import kotlin.test.assertEquals

class ZoneWaitLimitTest {
    private class Case(val name: String, val perMegabyte: Double, val bytes: Long, val limit: Long)

    private val cases = listOf(
        Case("no wait by default", 0.0, bytes = 5_000_000, limit = 0),
        Case("the wait grows with the bytes", 100.0, bytes = 500_000, limit = 50),
        Case("half of the time until the latest useful send", 1_000.0, bytes = 5_000_000, limit = 200),
        Case("a request that moves nothing", 1_000.0, bytes = 0, limit = 0),
    )

    // Guards against callers who wait longer for their zone than the bytes are worth, or beyond their objective.
    @Test
    fun `the wait is limited by the bytes and by the objective`() = cases.forEach { case ->
        val request = WaitingRequest(
            1, 0, 0, arrivedAt = 1_000, objectiveEndsAt = 1_500, deadline = 9_000, patienceEndsAt = 9_000,
            promptTokens = 1_000, outputTokens = 100, firstEventMilliseconds = 100, transferBytes = case.bytes,
        )
        val limit = ZoneWaitLimit(case.perMegabyte)
        assertEquals(true, limit.isReached(request, 1_000 + case.limit), case.name)
        assertEquals(case.limit == 0L, limit.isReached(request, maxOf(1_000, 999 + case.limit)), case.name)
    }
}
