package org.guavahatch.scheduling.endpoint

/** Current speed of an endpoint compared with its own average. */
internal enum class SpeedState {
    /** Close to the average. */
    NORMAL,

    /** Much slower than the average; the endpoint should get no work. */
    STRAGGLING,

    /** After a period without new work, the endpoint gets one request at a time until its speed is normal again. */
    PROBING,
}

/**
 * Detects that an endpoint has become much slower than its own average time between tokens.
 *
 * @property settings thresholds
 */
internal class StragglerDetector(private val settings: StragglerSettings) {
    private var averageGapMilliseconds = 0.0
    private var consecutiveNormalGaps = 0
    private var stateSinceMilliseconds = 0L

    var speedState = SpeedState.NORMAL
        private set

    /** Records the time between two consecutive tokens of one stream. */
    fun onTokenGap(gapMilliseconds: Long, nowMilliseconds: Long) {
        if (averageGapMilliseconds == 0.0) averageGapMilliseconds = gapMilliseconds.toDouble()
        if (isNormalGap(gapMilliseconds)) {
            updateAverage(gapMilliseconds, settings.weight)
            consecutiveNormalGaps++
            if (speedState != SpeedState.NORMAL &&
                consecutiveNormalGaps >= settings.normalGapsToRecover
            ) {
                transitionTo(SpeedState.NORMAL, nowMilliseconds)
            }
        } else {
            // Outliers count with less weight, so that a lasting change of speed becomes the average, but slowly.
            updateAverage(gapMilliseconds, settings.weight * OUTLIER_WEIGHT_FACTOR)
            consecutiveNormalGaps = 0
            if (speedState == SpeedState.PROBING) transitionTo(SpeedState.STRAGGLING, nowMilliseconds)
        }
    }

    private fun updateAverage(gapMilliseconds: Long, weight: Double) {
        averageGapMilliseconds += weight * (gapMilliseconds - averageGapMilliseconds)
    }

    private fun isNormalGap(gapMilliseconds: Long) =
        gapMilliseconds <= maxOf(ALWAYS_NORMAL_GAP_MILLISECONDS, settings.normalGapFactor * averageGapMilliseconds)

    /**
     * Detects stalls and ends the period without work.
     *
     * @param longestWaitMilliseconds longest time for which a stream has been waiting for its next token, or null if no
     * stream is decoding
     */
    fun onTick(longestWaitMilliseconds: Long?, nowMilliseconds: Long) {
        val limit = maxOf(settings.minimumStallMilliseconds.toDouble(), settings.stallFactor * averageGapMilliseconds)
        val isStalled = averageGapMilliseconds > 0 && longestWaitMilliseconds != null && longestWaitMilliseconds > limit
        val isProbeDue = nowMilliseconds - stateSinceMilliseconds >= settings.probeAfterMilliseconds
        when {
            isStalled && speedState != SpeedState.STRAGGLING -> transitionTo(SpeedState.STRAGGLING, nowMilliseconds)
            !isStalled && isProbeDue && speedState == SpeedState.STRAGGLING -> transitionTo(
                SpeedState.PROBING,
                nowMilliseconds,
            )
        }
    }

    private fun transitionTo(next: SpeedState, nowMilliseconds: Long) {
        speedState = next
        stateSinceMilliseconds = nowMilliseconds
        consecutiveNormalGaps = 0
    }

    private companion object {
        const val ALWAYS_NORMAL_GAP_MILLISECONDS = 20.0
        const val OUTLIER_WEIGHT_FACTOR = 0.1
    }
}
