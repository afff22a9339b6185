package org.guavahatch.scheduling.direct

import org.guavahatch.model.time.ManualClock
import kotlin.test.Test
import kotlin.test.assertTrue

class RetryAllowanceTest {
    private class Case(val name: String, val gateways: Int, val requestsPerSecond: Int)

    private val cases = listOf(
        Case("five gateways, few requests", 5, 2),
        Case("five gateways, many requests", 5, 100),
        Case("twenty-two gateways", 22, 20),
    )

    @Test
    fun `all gateways together keep to the limit in any window when every request fails`() = cases.forEach { case ->
        val clock = ManualClock()
        val allowances = List(case.gateways) { RetryAllowance(clock, RetryLimit(0.2, 56.0, 10_000)) }
        val retries = ArrayList<Long>()
        repeat(3_000) { tick ->
            clock.advance(10)
            allowances.forEach { allowance ->
                if (tick % (100 / minOf(100, case.requestsPerSecond)) == 0) allowance.recordRequest()
                while (allowance.take(case.gateways)) retries += clock.monotonicMilliseconds()
            }
        }
        val limit = 0.2 * case.requestsPerSecond * case.gateways * 10 + 56
        val most = retries.maxOf { start -> retries.count { it in start until start + 10_000 } }
        assertTrue(most <= limit, "${case.name}: $most retries, limit $limit")
        assertTrue(most >= limit / 2, "${case.name}: only $most retries of $limit allowed")
    }
}
