package org.guavahatch.scheduling.zone

import org.guavahatch.scheduling.direct.WaitingRequest

/**
 * Limits how long a request waits for its own zone while another zone has slots to spare.
 *
 * The time that callers lose by waiting is weighed against the bytes that cross zones otherwise. This answers peaks in
 * one zone: all requests wait equally long then, whatever they weigh.
 *
 * @property millisecondsPerMegabyte how long a caller may wait to keep a million bytes in its zone, 0 or more
 */
public class ZoneWaitLimit(private val millisecondsPerMegabyte: Double = 0.0) {
    init {
        require(millisecondsPerMegabyte >= 0) { "The wait per megabyte is negative: $millisecondsPerMegabyte" }
    }

    /** Whether [request] has waited for its zone as long as it may. */
    public fun isReached(request: WaitingRequest, now: Long): Boolean =
        request.hasAnswerBegun || now - request.arrivedAt >= milliseconds(request)

    private fun milliseconds(request: WaitingRequest): Double = minOf(
        request.transferBytes * millisecondsPerMegabyte / BYTES_PER_MEGABYTE,
        (request.latestSendAt - request.arrivedAt) * MAXIMUM_WAIT_SHARE,
    )

    private companion object {
        const val BYTES_PER_MEGABYTE = 1e6

        /**
         * Share of the time until the latest useful send that a request may wait for its own zone. The rest is for
         * reports that are late, a refused send and a first event that is slower than forecast.
         */
        const val MAXIMUM_WAIT_SHARE = 0.5
    }
}
