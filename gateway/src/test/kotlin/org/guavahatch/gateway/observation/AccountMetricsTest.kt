package org.guavahatch.gateway.observation

import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse

class AccountMetricsTest {
    @Test
    fun `accounts and routes beyond the limits do not add time series`() {
        val metrics = GatewayMetrics()
        repeat(100) { account ->
            repeat(40) { route -> metrics.accounts.of("account-$account", "route-$route").countAsked() }
        }
        val series = metrics.scrape().lines().filter { it.startsWith("guavahatch_gateway_account_asked_total{") }
        assertEquals((AccountMetrics.MAXIMUM_ACCOUNTS + 1) * (AccountMetrics.MAXIMUM_ROUTES + 1), series.size)
        assertEquals(100 * 40.0, series.sumOf { it.substringAfterLast(' ').toDouble() }, "requests counted")
        assertFalse(series.any { "account-64" in it }, "an account beyond the limit has a label of its own")
    }

    @Test
    fun `a request without account and route is counted and not lost`() {
        val metrics = GatewayMetrics()
        metrics.accounts.of(null, null).countRefused()
        val line = "guavahatch_gateway_account_refused_total{account=\"none\",route=\"none\"} 1.0"
        assertContains(metrics.scrape(), line)
    }
}
