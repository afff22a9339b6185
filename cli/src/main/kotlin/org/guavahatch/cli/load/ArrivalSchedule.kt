package org.guavahatch.cli.load

import kotlin.math.ln
import kotlin.random.Random

/**
 * A request to be sent at a planned time.
 *
 * @property atMilliseconds planned time since the start of the load
 * @property kind kind of the request
 * @property name unique name of the request, under which stand-ins keep their records
 * @property number position of the request in the load, from 0
 */
internal data class PlannedRequest(
    val atMilliseconds: Double,
    val kind: RequestKind,
    val name: String,
    val number: Int,
)

/** Plans the arrivals of a load as a Poisson process with the rate of the mix, independent of the response times. */
internal object ArrivalSchedule {
    private const val MILLISECONDS_PER_SECOND = 1000.0

    /** Returns the requests of [mix] in the order of their times, with names that start with [prefix]. */
    fun plan(mix: LoadMix, prefix: String): List<PlannedRequest> {
        val random = Random(mix.seed)
        return mix.arrivals.zipWithNext()
            .flatMap { (from, to) -> arrivalSeconds(from, to, random) }
            .mapIndexed { index, seconds ->
                val kind = drawKind(mix.requests, random)
                PlannedRequest(seconds * MILLISECONDS_PER_SECOND, kind, "$prefix-$index", index)
            }
    }

    /**
     * Draws arrival times by thinning: generates arrivals at the higher of the two rates and keeps each one with a
     * probability of the current rate divided by the higher rate.
     */
    private fun arrivalSeconds(from: RatePoint, to: RatePoint, random: Random): List<Double> {
        val maximumRate = maxOf(from.perSecond, to.perSecond)
        if (maximumRate <= 0) return emptyList()
        val durationSeconds = to.atSeconds - from.atSeconds
        return generateSequence(interval(maximumRate, random)) { it + interval(maximumRate, random) }
            .takeWhile { it < durationSeconds }
            .filter {
                random.nextDouble() * maximumRate <
                    from.perSecond + (to.perSecond - from.perSecond) * it / durationSeconds
            }
            .map { from.atSeconds + it }
            .toList()
    }

    /** Draws an exponentially distributed time between arrivals at [rate] per second. */
    private fun interval(rate: Double, random: Random) = -ln(1 - random.nextDouble()) / rate

    private fun drawKind(kinds: List<RequestKind>, random: Random): RequestKind {
        var remaining = random.nextDouble() * kinds.sumOf { it.weight }
        return kinds.firstOrNull { kind ->
            remaining -= kind.weight
            remaining < 0
        } ?: kinds.last()
    }
}
