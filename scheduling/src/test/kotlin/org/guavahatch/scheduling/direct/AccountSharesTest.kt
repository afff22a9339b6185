package org.guavahatch.scheduling.direct

import kotlinx.collections.immutable.persistentSetOf
import org.guavahatch.model.forwarding.AccountQuota
import org.guavahatch.model.forwarding.ForwardingAccount
import org.guavahatch.model.time.ManualClock
import kotlin.test.Test
import kotlin.test.assertEquals

class AccountSharesTest {
    private val clock = ManualClock()
    private val shares = AccountShares(clock)

    private fun account(name: String, perSecond: Double?, countsTokens: Boolean = true) = ForwardingAccount(
        name,
        persistentSetOf(),
        quota = perSecond?.let { AccountQuota(it, it, countsTokens, defaultRequestUnits = 10) },
    )

    private fun assertUse(expected: Double, account: String, message: String) =
        assertEquals(expected, shares.weightedUse(account), 0.01 * expected + 0.001, message)

    @Test
    fun `use fades with its half-life, also over minutes in which the scale is rebased`() {
        shares.recordSent("a", 1_000.0, 0)
        clock.advance(2_000)
        assertUse(500.0, "a", "after one half-life")
        shares.recordSent("b", 400.0, 0)
        repeat(40) {
            clock.advance(30_000)
            shares.recordSent("c", 100.0, 0)
        }
        assertUse(100.0, "c", "sent now, minutes later")
        assertUse(0.0, "a", "minutes later")
    }

    @Test
    fun `an account with twice the quota may use twice as much, and one without a quota as much as the average`() {
        shares.configure(
            listOf(
                account("one", 100.0),
                account("two", 200.0),
                account("calls", 5.0, countsTokens = false),
                account("free", null),
            ),
        )
        listOf("one", "two", "calls", "free", AccountShares.NO_ACCOUNT).forEach { shares.recordSent(it, 300.0, 0) }
        assertUse(450.0, "one", "two thirds of the average quota")
        assertUse(225.0, "two", "four thirds of the average quota")
        assertUse(300.0, "calls", "the only quota in requests")
        assertUse(300.0, "free", "no quota")
        assertUse(300.0, AccountShares.NO_ACCOUNT, "no account")
    }

    @Test
    fun `units that peers report count at the measured cost, and those of rejected requests are taken back`() {
        shares.configure(listOf(account("a", 100.0)))
        shares.recordSent("a", cost = 300.0, units = 100)
        shares.recordPeerUse("peer", mapOf("a" to 200L))
        assertUse(900.0, "a", "own and peer's")
        shares.recordPeerUse("peer", mapOf("a" to -200L))
        assertUse(300.0, "a", "own only")
    }

    @Test
    fun `use that a peer reports after a silence does not count as if it were all recent`() {
        shares.recordPeerUse("peer", emptyMap())
        clock.advance(20_000)
        shares.recordPeerUse("peer", mapOf("a" to 20_000L))
        assertUse(2_883.0, "a", "as much as a steady use of 1,000 a second leaves")
    }

    @Test
    fun `a peer hears the cost of accounts without a quota`() {
        shares.configure(listOf(account("quota", 100.0), account("free", null)))
        listOf("quota", "free", AccountShares.NO_ACCOUNT).forEach { shares.recordSent(it, 50.0, 5) }
        val peer = AccountShares(clock)
        peer.recordPeerUse("this", shares.useWithoutQuota)
        assertEquals(
            listOf(0.0, 50.0, 50.0),
            listOf("quota", "free", AccountShares.NO_ACCOUNT).map(peer::weightedUse),
        )
    }
}
