package org.guavahatch.scheduling.direct

import kotlinx.collections.immutable.persistentSetOf
import org.guavahatch.model.forwarding.AccountQuota
import org.guavahatch.model.forwarding.ForwardingAccount
import org.guavahatch.model.time.ManualClock
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

class AccountLedgerTest {
    private val account =
        ForwardingAccount("hot", persistentSetOf("k"), quota = AccountQuota(10_000.0, 10_000.0, true, 200))

    private fun filled(clock: ManualClock) = AccountLedger(clock).apply {
        prepare(listOf(account))
        clock.advance(2_000)
    }

    @Test
    fun `an account at its limit has its least urgent requests refused first`() {
        val ledger = filled(ManualClock())
        assertNull(ledger.admit(account, 8_000, routeRank = 0))
        assertNotNull(
            ledger.admit(account, 500, routeRank = 2),
            "2,000 units remain and 3,000 are reserved for higher ranks",
        )
        assertNull(ledger.admit(account, 2_000, routeRank = 0))
    }

    @Test
    fun `a new gateway does not grant a burst that other gateways may have used`() {
        val ledger = AccountLedger(ManualClock()).apply { prepare(listOf(account)) }
        assertNotNull(ledger.admit(account, 100))
    }

    @Test
    fun `units of a request that was not sent are credited`() {
        val ledger = filled(ManualClock())
        assertNull(ledger.admit(account, 10_000))
        ledger.credit("hot", 10_000)
        assertNull(ledger.admit(account, 10_000))
    }

    @Test
    fun `half of the tolerance is granted to callers`() {
        val clock = ManualClock()
        val ledger = AccountLedger(clock, QuotaTolerance(overage = 0.1, slackUnits = 2_000.0))
        ledger.prepare(listOf(account))
        clock.advance(5_000)
        assertNull(ledger.admit(account, 11_500))
        assertNotNull(ledger.admit(account, 1))
    }

    @Test
    fun `no use beyond the quota is accepted while endpoints are full`() {
        val clock = ManualClock()
        val ledger = AccountLedger(clock, QuotaTolerance(overage = 0.1, slackUnits = 2_000.0))
        ledger.prepare(listOf(account))
        clock.advance(5_000)
        assertNull(ledger.admit(account, 10_000, hasFreeSlots = false))
        assertNotNull(ledger.admit(account, 1, hasFreeSlots = false))
        assertNull(ledger.admit(account, 1, hasFreeSlots = true))
    }

    private class Case(val name: String, val gateways: Int, val delayMilliseconds: Long, val exchangesReports: Boolean)

    private val cases = listOf(
        Case("one gateway", 1, 0, true),
        Case("five gateways that exchange reports with a delay of 100 ms", 5, 100, true),
        Case("five gateways that exchange no reports", 5, 0, false),
        Case("twenty-two gateways that exchange reports with a delay of 300 ms", 22, 300, true),
    )

    @Test
    fun `all gateways together enforce the quota of an account that sends ten times as much`() = cases.forEach { case ->
        val used = simulate(case)
        // The users' rule allows a tenth and 72,000 tokens more in any 8 s. The fixed part is left out here: it is
        // for delayed reports, whose effect is added below.
        val limit = (10_000.0 * WINDOW_MILLISECONDS / 1_000 + 10_000) * 1.1
        val delayed = if (case.exchangesReports) case.delayMilliseconds * 100_000 / 1_000.0 else 0.0
        assertTrue(used <= limit + delayed, "${case.name}: $used units admitted, limit $limit")
        assertTrue(used >= 0.8 * 10_000 * WINDOW_MILLISECONDS / 1_000, "${case.name}: only $used units admitted")
    }

    /** Returns the highest number of units that were admitted within any window. */
    private fun simulate(case: Case): Long {
        val clock = ManualClock()
        val random = Random(7)
        val ledgers = List(case.gateways) { AccountLedger(clock).apply { prepare(listOf(account)) } }
        val heard = if (case.exchangesReports) case.gateways else 1
        ledgers.forEach { it.recordGateways(heard, case.gateways) }
        val inFlight = ArrayDeque<Triple<Long, Int, Long>>()
        val admitted = ArrayList<Pair<Long, Long>>()
        repeat(20_000) {
            clock.advance(1)
            val now = clock.monotonicMilliseconds()
            while (inFlight.firstOrNull()?.let { now - it.first >= case.delayMilliseconds } == true) {
                val (_, from, units) = inFlight.removeFirst()
                ledgers.forEachIndexed { index, ledger -> if (index != from) ledger.recordPeerUse("hot", units) }
            }
            val gateway = random.nextInt(case.gateways)
            if (ledgers[gateway].admit(account, 100) == null) {
                admitted += now to 100L
                if (case.exchangesReports) inFlight.addLast(Triple(now, gateway, 100L))
            }
        }
        return admitted.maxOf { (start, _) ->
            admitted.filter { it.first in start until start + WINDOW_MILLISECONDS }.sumOf { it.second }
        }
    }

    private companion object {
        const val WINDOW_MILLISECONDS = 8_000L
    }
}
