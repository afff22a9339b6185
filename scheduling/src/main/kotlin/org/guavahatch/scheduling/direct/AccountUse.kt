package org.guavahatch.scheduling.direct

/** Recent use of one account in [AccountShares], in its growing scale. */
internal class AccountUse {
    private var stored = 0.0
    private var weight = 1.0

    /** Use divided by the weight; not below zero. */
    var weighted = 0.0
        private set

    /** Whether the account has a quota, so that peers report its use in units of it. */
    var hasQuota = false
        private set

    /** Cost of the requests that this gateway has sent since its start. */
    var sentCost = 0.0

    /** Average cost of a unit of the quota. */
    val costPerUnit = MovingAverage(COST_PER_UNIT_WEIGHT)

    fun setWeight(weight: Double, hasQuota: Boolean) {
        this.weight = weight
        this.hasQuota = hasQuota
        refresh()
    }

    fun add(amount: Double) {
        stored += amount
        refresh()
    }

    fun scale(factor: Double) {
        stored *= factor
        refresh()
    }

    /** What [cost], multiplied by [growth], would add to [weighted]. */
    fun increment(cost: Double, growth: Double): Double = cost * growth / weight

    private fun refresh() {
        weighted = maxOf(0.0, stored / weight)
    }

    private companion object {
        /** Averages about twenty requests, since an account may have few at one gateway. */
        const val COST_PER_UNIT_WEIGHT = 0.05
    }
}
