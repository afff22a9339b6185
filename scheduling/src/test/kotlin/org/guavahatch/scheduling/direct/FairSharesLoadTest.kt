package org.guavahatch.scheduling.direct

import kotlin.test.Test
import kotlin.test.assertTrue

/** Guards against accounts that lose what they usually get, because another one sends several times its usual load. */
class FairSharesLoadTest {
    /**
     * @property excess factor on the usual load, by account
     * @property usual share of the capacity that all accounts together usually ask for
     */
    private class Case(
        val name: String,
        val excess: Map<Int, Double>,
        val gateways: Int = 23,
        val slots: Int = 272,
        val usual: Double = 0.9,
        val lostShare: Double = 0.0,
        val transitMilliseconds: Long = 130,
        val tokens: (Int) -> Long = { 1_000 },
    )

    private val cases = listOf(
        Case("one account at five times its load", mapOf(0 to 5.0)),
        Case("one account at seven times its load", mapOf(0 to 7.0)),
        Case("three accounts at six times their load", mapOf(0 to 6.0, 1 to 6.0, 2 to 6.0)),
        Case("an account with long prompts", mapOf(0 to 6.0), tokens = { if (it == 0) 4_000 else 800 }),
        Case("an account with short prompts", mapOf(0 to 6.0), tokens = { if (it == 0) 200 else 1_500 }),
        Case("a pool that is full before", mapOf(0 to 7.0), usual = 1.2),
        Case("half of the reports lost", mapOf(0 to 6.0), lostShare = 0.5),
        Case("nine in ten reports lost", mapOf(0 to 6.0), lostShare = 0.9),
        Case("reports a second late", mapOf(0 to 6.0), transitMilliseconds = 1_000),
        Case("many gateways", mapOf(0 to 6.0, 1 to 6.0, 2 to 6.0), gateways = 300, slots = 1_200, lostShare = 0.1),
    )

    @Test
    fun `accounts with their usual load keep what they get while others send several times theirs`() =
        cases.map { case ->
            val before = served(case, excess = emptyMap(), isFair = true)
            val unfair = served(case, case.excess, isFair = false)
            val fair = served(case, case.excess, isFair = true)
            val loss = others(case, fair).loss(others(case, before))
            val used = fair.sum().toDouble() / unfair.sum()
            val lossWithout = others(case, unfair).loss(others(case, before))
            println(
                "${case.name}: the others lose %.3f, without fair shares %.3f; %.3f is used".format(
                    loss,
                    lossWithout,
                    used,
                ),
            )
            Triple(case.name, loss, used)
        }.forEach { (name, loss, used) ->
            assertTrue(loss < 0.05, "$name: the others lose $loss of what they usually get")
            assertTrue(used > 0.97, "$name: $used of the tokens are served that are served without fair shares")
        }

    private fun Long.loss(before: Long) = 1 - toDouble() / before

    /** Tokens served for the accounts whose load is not in excess. */
    private fun others(case: Case, served: LongArray): Long =
        served.filterIndexed { account, _ -> account !in case.excess }.sum()

    private fun served(case: Case, excess: Map<Int, Double>, isFair: Boolean): LongArray {
        val loads = List(ACCOUNTS) { account ->
            AccountLoad("account-$account", case.usual / ACCOUNTS * (excess[account] ?: 1.0), case.tokens(account))
        }
        return SharedLoad(1, case.gateways, case.slots, loads, isFair, case.lostShare, case.transitMilliseconds)
            .simulate().served
    }

    private companion object {
        const val ACCOUNTS = 12
    }
}
