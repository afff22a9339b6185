package org.guavahatch.cli.load

import org.HdrHistogram.Histogram

/** Summarizes measurements. */
internal object ResultBuilder {
    private const val DEFAULT_TIER = "default"
    private const val HIGHEST_MICROSECONDS = 3_600_000_000L
    private const val DIGITS = 3
    private const val MICROSECONDS_PER_MILLISECOND = 1000.0
    private const val MILLISECONDS_PER_SECOND = 1000

    /** The result of a load of [mix]. */
    fun build(mix: LoadMix, all: List<Measurement>, wrong: List<WrongAnswer>): LoadResult {
        val warmUp = mix.warmUpSeconds * MILLISECONDS_PER_SECOND
        return buildMeasured(mix, all.filter { it.planned.atMilliseconds >= warmUp }, wrong)
    }

    private fun buildMeasured(mix: LoadMix, measurements: List<Measurement>, wrong: List<WrongAnswer>) = LoadResult(
        seed = mix.seed,
        seconds = mix.arrivals.last().atSeconds,
        total = group("all", measurements),
        tiers = measurements.groupBy(::tierOf).map { (name, group) -> group(name, group) }.sortedBy { it.name },
        kinds = measurements.groupBy { it.planned.kind.name }.map { (name, group) -> group(name, group) },
        reasons = measurements.filter { it.reason.isNotEmpty() }
            .groupingBy { "${it.outcome.name.lowercase()}: ${it.reason}" }
            .eachCount(),
        timeline = timeline(measurements),
        wrong = wrong,
    )

    private fun tierOf(measurement: Measurement) = measurement.planned.kind.tier.ifEmpty { DEFAULT_TIER }

    private fun group(name: String, group: List<Measurement>) = GroupResult(
        name = name,
        sent = group.size,
        answered = group.count { it.outcome == ObservedOutcome.ANSWERED },
        good = group.count { it.isGood },
        notRun = group.count { it.outcome == ObservedOutcome.NOT_RUN },
        unknown = group.count { it.outcome == ObservedOutcome.UNKNOWN || it.outcome == ObservedOutcome.BROKEN },
        refused = group.count { it.outcome == ObservedOutcome.REFUSED },
        duration = quantiles(
            group.filter { it.outcome == ObservedOutcome.ANSWERED }.map { it.durationMilliseconds },
        ),
        firstToken = quantiles(group.mapNotNull { it.firstTokenMilliseconds }),
        tokenGap = quantiles(group.flatMap { it.tokenGapsMilliseconds }),
    )

    private fun quantiles(milliseconds: List<Double>): Quantiles {
        val histogram = Histogram(HIGHEST_MICROSECONDS, DIGITS)
        milliseconds.forEach { histogram.recordValue((it * MICROSECONDS_PER_MILLISECOND).toLong().coerceAtLeast(0)) }
        fun at(percentile: Double) = histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND
        return Quantiles(histogram.totalCount, at(50.0), at(95.0), at(99.0), at(100.0))
    }

    private fun timeline(measurements: List<Measurement>): List<SecondResult> = measurements
        .groupBy {
            Triple((it.planned.atMilliseconds / MILLISECONDS_PER_SECOND).toInt(), tierOf(it), it.planned.kind.name)
        }
        .map { (key, group) ->
            SecondResult(key.first, key.second, key.third, group.size, group.count { it.isGood })
        }
        .sortedWith(compareBy({ it.second }, { it.tier }, { it.kind }))
}
