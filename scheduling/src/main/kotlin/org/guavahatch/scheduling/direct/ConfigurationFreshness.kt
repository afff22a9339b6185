package org.guavahatch.scheduling.direct

import org.guavahatch.model.time.Clock
import kotlin.math.abs

/**
 * How old the newest confirmation of the configuration in force is.
 *
 * A confirmation carries the moment at which the question was asked, so that a late answer does not look newer than it
 * is. A monotonic clock may stand still while the machine is suspended; the wall clock shows the gap, and then nothing
 * confirmed before it counts. The load it answers: keys that are revoked while a gateway is cut off or suspended.
 *
 * @property clock source of time
 * @property fenceMilliseconds age from which requests with keys are not served
 * @property negativeMilliseconds age from which "no such route" and "no such key" are not answered
 */
public class ConfigurationFreshness(
    private val clock: Clock,
    private val fenceMilliseconds: Long,
    private val negativeMilliseconds: Long,
) {
    private var confirmedAt: Long? = null
    private var offset = clock.wallMilliseconds() - clock.monotonicMilliseconds()

    /** Number of gaps seen so far; confirmations asked for before the last gap are ignored. */
    public var gaps: Int = 0
        private set

    /** Age of the newest confirmation in milliseconds, or null if there is none. */
    public fun ageMilliseconds(): Long? {
        detectGap()
        return confirmedAt?.let { clock.monotonicMilliseconds() - it }
    }

    /** Notes that the configuration in force was confirmed by a question asked at [askedAt], seen [gapsThen] gaps. */
    public fun confirm(askedAt: Long, gapsThen: Int) {
        detectGap()
        if (gapsThen != gaps) return
        confirmedAt = maxOf(confirmedAt ?: askedAt, askedAt)
    }

    /** Whether requests with keys may be served. */
    public fun allowsKeys(): Boolean = (ageMilliseconds() ?: Long.MAX_VALUE) <= fenceMilliseconds

    /** Whether a route or key that is not in the configuration can be refused for good. */
    public fun allowsNegativeAnswers(): Boolean = (ageMilliseconds() ?: Long.MAX_VALUE) <= negativeMilliseconds

    private fun detectGap() {
        val present = clock.wallMilliseconds() - clock.monotonicMilliseconds()
        val jump = abs(present - offset)
        offset = present
        if (jump <= LARGEST_DRIFT_MILLISECONDS) return
        gaps++
        confirmedAt = null
    }

    private companion object {
        /** Slewing between two readings stays far below; the shortest suspensions that matter are about a second. */
        const val LARGEST_DRIFT_MILLISECONDS = 200L
    }
}
