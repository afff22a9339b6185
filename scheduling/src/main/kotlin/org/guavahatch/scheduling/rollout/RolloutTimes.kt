package org.guavahatch.scheduling.rollout

/**
 * Points in time of a rollout, in ms after its start.
 *
 * @property limit time limit of the order
 */
internal class RolloutTimes(val limit: Long) {
    /** When a version may be judged good: late, since it may turn bad later. */
    val verdictAfter: Long = limit - minOf(VERDICT_BEFORE_LIMIT, limit / 4)

    /** When the end is decided, so that it is written by the time limit. */
    val endAfter: Long = limit - minOf(END_BEFORE_LIMIT, limit / 8)

    private companion object {
        const val VERDICT_BEFORE_LIMIT = 3_000L
        const val END_BEFORE_LIMIT = 500L
    }
}
