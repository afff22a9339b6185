package org.guavahatch.scheduling.budget

/**
 * Limits retries to a share of the first dispatches, so that retries do not amplify an overload.
 *
 * @property earnedPerRequest retries that each first dispatch adds to the budget, default 0.1
 * @property maximum initial and highest number of retries in the budget, default 50
 */
public class RetryBudget(
    private val earnedPerRequest: Double = DEFAULT_EARNED_PER_REQUEST,
    private val maximum: Double = DEFAULT_MAXIMUM,
) {
    private var available = maximum

    /** Records a first dispatch. */
    public fun earn() {
        available = minOf(maximum, available + earnedPerRequest)
    }

    /** Takes one retry from the budget; returns false if less than one is left. */
    public fun spend(): Boolean {
        if (available < 1) return false
        available -= 1
        return true
    }

    private companion object {
        const val DEFAULT_EARNED_PER_REQUEST = 0.1
        const val DEFAULT_MAXIMUM = 50.0
    }
}
