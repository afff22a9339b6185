package org.guavahatch.cli.load

import kotlin.math.ln
import kotlin.random.Random

/**
 * A request that is to be sent.
 *
 * @property atMilliseconds time since the start
 * @property kind kind of the request
 * @property name name that no other request has; stand-ins keep records by it
 * @property number position of the request
 */
internal data class PlannedRequest(
    val atMilliseconds: Double,
    val kind: RequestKind,
    val name: String,
    val number: Int,
)

/** Plans a load: arrivals at random with the rate of the curve, independent of how fast answers come. */
internal object ArrivalSchedule {
    private const val MILLISECONDS_PER_SECOND = 1000.0

    /** The requests of [mix] in the order of their times; names start with [prefix]. */
    fun plan(mix: LoadMix, prefix: String): List<PlannedRequest> {
        val random = Random(mix.seed)
        return mix.arrivals.zipWithNext()
            .flatMap { (from, to) -> times(from, to, random) }
            .mapIndexed { index, seconds ->
                val kind = drawKind(mix.requests, random)
                PlannedRequest(seconds * MILLISECONDS_PER_SECOND, kind, "$prefix-$index", index)
            }
    }

    /** Arrival times by thinning: arrivals at the higher rate, of which the fitting share is kept. */
    private fun times(from: ArrivalCorner, to: ArrivalCorner, random: Random): List<Double> {
        val highest = maxOf(from.perSecond, to.perSecond)
        if (highest <= 0) return emptyList()
        val length = to.atSeconds - from.atSeconds
        return generateSequence(step(highest, random)) { it + step(highest, random) }
            .takeWhile { it < length }
            .filter { random.nextDouble() * highest < from.perSecond + (to.perSecond - from.perSecond) * it / length }
            .map { from.atSeconds + it }
            .toList()
    }

    private fun step(rate: Double, random: Random) = -ln(1 - random.nextDouble()) / rate

    private fun drawKind(kinds: List<RequestKind>, random: Random): RequestKind {
        var left = random.nextDouble() * kinds.sumOf { it.weight }
        return kinds.firstOrNull { kind ->
            left -= kind.weight
            left < 0
        } ?: kinds.last()
    }
}
