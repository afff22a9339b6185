package org.guavahatch.scheduling.budget

/**
 * Limits repeated dispatches to a share of the first ones, so that retries cannot multiply an overload.
 *
 * @property earnedPerRequest retries that a first dispatch earns, default 0.1
 * @property maximum retries that can be saved up, default 50
 */
public class RetryBudget(
    private val earnedPerRequest: Double = DEFAULT_EARNED_PER_REQUEST,
    private val maximum: Double = DEFAULT_MAXIMUM,
) {
    private var saved = maximum

    /** Notes a first dispatch. */
    public fun earn() {
        saved = minOf(maximum, saved + earnedPerRequest)
    }

    /** Takes one retry; false if there is none left. */
    public fun spend(): Boolean {
        if (saved < 1) return false
        saved -= 1
        return true
    }

    private companion object {
        const val DEFAULT_EARNED_PER_REQUEST = 0.1
        const val DEFAULT_MAXIMUM = 50.0
    }
}
