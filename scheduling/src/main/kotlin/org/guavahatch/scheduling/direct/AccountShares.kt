package org.guavahatch.scheduling.direct

import org.guavahatch.model.forwarding.ForwardingAccount
import org.guavahatch.model.time.Clock
import kotlin.math.exp
import kotlin.math.pow

/**
 * Recent use of the endpoints by client accounts over all gateways, relative to their weights.
 *
 * Use is the cost of the requests that were sent, see [TokenCost], and halves every [HALF_LIFE_MILLISECONDS]. The
 * weight of an account is its quota relative to the average quota of the same kind; accounts without a quota, and the
 * requests without an account together, have weight 1.
 *
 * Use is stored multiplied by a factor that doubles with each half-life, so that fading needs no update: two accounts
 * change their order only when use is added.
 *
 * @property clock source of monotonic time
 */
public class AccountShares(private val clock: Clock) {
    private val uses = HashMap<String, AccountUse>()
    private val heardAt = HashMap<String, Long>()
    private var epoch = clock.monotonicMilliseconds()
    private val costPerUnit = MovingAverage(COST_PER_UNIT_WEIGHT)

    /**
     * Cost of the requests that this gateway has sent since its start, by [COST_PREFIX] and account; only accounts
     * without a quota and [NO_ACCOUNT], whose use no [AccountLedger] reports.
     */
    public val useWithoutQuota: Map<String, Long>
        get() = uses.filterValues { !it.hasQuota && it.sentCost > 0 }.entries
            .associate { (name, use) -> COST_PREFIX + name to use.sentCost.toLong() }

    /** Takes over the weights of [accounts]; an account that is no longer configured has weight 1. */
    public fun configure(accounts: Collection<ForwardingAccount>) {
        uses.values.forEach { it.setWeight(1.0, hasQuota = false) }
        accounts.filter { it.quota != null }.groupBy { it.quota!!.countsTokens }.values.forEach { sameKind ->
            val average = sameKind.map { it.quota!!.unitsPerSecond }.average()
            sameKind.forEach { account ->
                val weight = if (average > 0) account.quota!!.unitsPerSecond / average else 1.0
                useOf(account.name).setWeight(maxOf(weight, MINIMUM_WEIGHT), hasQuota = true)
            }
        }
        val configured = accounts.mapTo(HashSet()) { it.name }
        val growth = growth()
        uses.entries.removeIf { (name, use) -> name !in configured && use.weighted < growth }
    }

    /** Records a request of [account] with [cost] that was sent now; its quota charged [units] for it. */
    public fun recordSent(account: String, cost: Double, units: Long) {
        val use = useOf(account)
        use.add(cost * growth())
        use.sentCost += cost
        if (units <= 0) return
        use.costPerUnit.add(cost / units)
        costPerUnit.add(cost / units)
    }

    /**
     * Records the use that [peer] reports: the units of each account, or with [COST_PREFIX] the cost, since its last
     * report. A negative number takes back what was reported for requests that were then rejected.
     */
    public fun recordPeerUse(peer: String, changes: Map<String, Long>) {
        val now = clock.monotonicMilliseconds()
        val elapsed = heardAt.put(peer, now)?.let { now - it } ?: 0
        val factor = growth() * shareLeftAfter(elapsed)
        changes.forEach { (name, amount) -> if (amount != 0L) addPeerUse(name, amount * factor) }
    }

    /** Forgets the times of all peers but [names]. */
    public fun retainPeers(names: Set<String>) {
        heardAt.keys.retainAll(names)
    }

    private fun addPeerUse(name: String, stored: Double) {
        if (name.startsWith(COST_PREFIX)) return useOf(name.removePrefix(COST_PREFIX)).add(stored)
        val use = useOf(name)
        use.add(stored * (use.costPerUnit.value ?: costPerUnit.value ?: 1.0))
    }

    /** Share that is left of a use that was spread evenly over the last [elapsed] ms, as after lost reports. */
    private fun shareLeftAfter(elapsed: Long): Double {
        val exponent = elapsed / HALF_LIFE_MILLISECONDS * LOGARITHM_OF_2
        return if (exponent < NEGLIGIBLE_EXPONENT) 1.0 else (1 - exp(-exponent)) / exponent
    }

    /** The [count] accounts with the highest weighted recent use, and this use in cost. */
    public fun highestUses(count: Int): List<Pair<String, Long>> {
        val growth = growth()
        return uses.entries.sortedByDescending { it.value.weighted }.take(count)
            .map { (name, use) -> name to (use.weighted / growth).toLong() }
    }

    /** Weighted recent use of [account] in cost, now. */
    public fun weightedUse(account: String): Double = (uses[account]?.weighted ?: 0.0) / growth()

    /** The use of [account], created if it is not known; it stays valid. */
    internal fun useOf(account: String): AccountUse = uses.getOrPut(account) { AccountUse() }

    /** Factor by which a cost is multiplied when it is stored now. */
    internal fun growth(): Double {
        val elapsed = clock.monotonicMilliseconds() - epoch
        if (elapsed > REBASE_MILLISECONDS) rebase(elapsed)
        return 2.0.pow((clock.monotonicMilliseconds() - epoch) / HALF_LIFE_MILLISECONDS)
    }

    private fun rebase(elapsed: Long) {
        val factor = 2.0.pow(-elapsed / HALF_LIFE_MILLISECONDS)
        uses.values.forEach { it.scale(factor) }
        epoch += elapsed
    }

    public companion object {
        /** Name that stands for the requests without an account; no account has an empty name. */
        public const val NO_ACCOUNT: String = ""

        /** Marks a use in cost among those in units of a quota. */
        public const val COST_PREFIX: String = "cost:"

        /**
         * Some times the duration of a request, so that single requests do not decide, and short compared with the time
         * for which callers of an idle account expect to benefit from its idleness.
         */
        internal const val HALF_LIFE_MILLISECONDS = 2_000.0

        /** Far below the 1,000 half-lives after which a stored number would overflow. */
        private const val REBASE_MILLISECONDS = 60_000L
        private const val LOGARITHM_OF_2 = 0.693147180559945
        private const val NEGLIGIBLE_EXPONENT = 1e-6

        /** Averages about a hundred requests. */
        private const val COST_PER_UNIT_WEIGHT = 0.01

        /** Keeps the weighted use of an account with a quota of almost nothing finite. */
        private const val MINIMUM_WEIGHT = 1e-6
    }
}
