package org.guavahatch.scheduling.direct

import org.guavahatch.model.time.Clock
import kotlin.math.abs

/**
 * Tracks the age of the newest confirmation of the configuration in force, so that a gateway that is partitioned or
 * suspended stops accepting keys that may have been revoked meanwhile.
 *
 * A confirmation counts from the time at which it was requested, so that a delayed response does not look newer than it
 * is. A monotonic clock may stop while the machine is suspended. The wall clock reveals such a gap, and earlier
 * confirmations are then discarded.
 *
 * @property clock source of monotonic and wall time
 * @property maximumKeyAgeMilliseconds highest age at which requests with keys are served
 * @property maximumNegativeAnswerAgeMilliseconds highest age at which a request may be refused because of an unknown
 * route or key
 */
public class ConfigurationFreshness(
    private val clock: Clock,
    private val maximumKeyAgeMilliseconds: Long,
    private val maximumNegativeAnswerAgeMilliseconds: Long,
) {
    private var confirmedAt: Long? = null
    private var wallClockOffset = clock.wallMilliseconds() - clock.monotonicMilliseconds()

    /** Number of clock clockGaps detected so far; confirmations requested before the last gap are ignored. */
    public var clockGaps: Int = 0
        private set

    /** Age of the newest valid confirmation in milliseconds, or null if there is none. */
    public fun ageMilliseconds(): Long? {
        detectGap()
        return confirmedAt?.let { clock.monotonicMilliseconds() - it }
    }

    /**
     * Records that the configuration in force was confirmed.
     *
     * @param requestedAt monotonic time at which the confirmation was requested
     * @param clockGapsAtRequest value of [clockGaps] at that time
     */
    public fun confirm(requestedAt: Long, clockGapsAtRequest: Int) {
        detectGap()
        if (clockGapsAtRequest != clockGaps) return
        confirmedAt = maxOf(confirmedAt ?: requestedAt, requestedAt)
    }

    /** Whether requests with keys may be served. */
    public fun allowsKeyedRequests(): Boolean = (ageMilliseconds() ?: Long.MAX_VALUE) <= maximumKeyAgeMilliseconds

    /** Whether the newest confirmation is so old that peers should be asked for theirs. */
    public fun needsConfirmation(): Boolean =
        (ageMilliseconds() ?: Long.MAX_VALUE) > maximumKeyAgeMilliseconds * CONFIRMATION_PERCENT / PERCENT

    /** Whether a request whose route or key is not in the configuration may be refused as unknown. */
    public fun allowsNegativeAnswers(): Boolean =
        (ageMilliseconds() ?: Long.MAX_VALUE) <= maximumNegativeAnswerAgeMilliseconds

    private fun detectGap() {
        val currentOffset = clock.wallMilliseconds() - clock.monotonicMilliseconds()
        val jump = abs(currentOffset - wallClockOffset)
        wallClockOffset = currentOffset
        if (jump <= MAXIMUM_DRIFT_MILLISECONDS) return
        clockGaps++
        confirmedAt = null
    }

    private companion object {
        /** Clock slewing between two readings stays far below this; relevant suspensions last at least about 1 s. */
        const val MAXIMUM_DRIFT_MILLISECONDS = 200L

        /** Part of the maximum age after which peers are asked; the rest is for the exchange with them. */
        const val CONFIRMATION_PERCENT = 70
        const val PERCENT = 100
    }
}
