package org.guavahatch.cli.load

import org.HdrHistogram.Histogram

/** Aggregates measurements into a result. */
internal object ResultBuilder {
    private const val DEFAULT_TIER = "default"
    private const val HIGHEST_TRACKABLE_MICROSECONDS = 3_600_000_000L
    private const val SIGNIFICANT_DIGITS = 3
    private const val MICROSECONDS_PER_MILLISECOND = 1000.0
    private const val MILLISECONDS_PER_SECOND = 1000

    /** Returns the result of a load of [mix], without the measurements of the warm-up. */
    fun build(mix: LoadMix, measurements: List<Measurement>, wrong: List<WrongAnswer>): LoadResult {
        val warmUpMilliseconds = mix.warmUpSeconds * MILLISECONDS_PER_SECOND
        return buildMeasured(mix, measurements.filter { it.planned.atMilliseconds >= warmUpMilliseconds }, wrong)
    }

    private fun buildMeasured(mix: LoadMix, measurements: List<Measurement>, wrong: List<WrongAnswer>) = LoadResult(
        seed = mix.seed,
        seconds = mix.arrivals.last().atSeconds,
        total = groupResult("all", measurements),
        tiers = measurements.groupBy(::tierOf).map { (name, group) -> groupResult(name, group) }.sortedBy { it.name },
        kinds = measurements.groupBy { it.planned.kind.name }.map { (name, group) -> groupResult(name, group) },
        reasons = measurements.filter { it.reason.isNotEmpty() }
            .groupingBy { "${it.outcome.name.lowercase()}: ${it.reason}" }
            .eachCount(),
        timeline = timeline(measurements),
        wrong = wrong,
    )

    private fun tierOf(measurement: Measurement) = measurement.planned.kind.tier.ifEmpty { DEFAULT_TIER }

    private fun groupResult(name: String, group: List<Measurement>) = GroupResult(
        name = name,
        sent = group.size,
        answered = group.count { it.outcome == ObservedOutcome.ANSWERED },
        good = group.count { it.isAnsweredInTime },
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
        val histogram = Histogram(HIGHEST_TRACKABLE_MICROSECONDS, SIGNIFICANT_DIGITS)
        milliseconds.forEach { histogram.recordValue((it * MICROSECONDS_PER_MILLISECOND).toLong().coerceAtLeast(0)) }
        fun valueAt(percentile: Double) = histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND
        return Quantiles(histogram.totalCount, valueAt(50.0), valueAt(95.0), valueAt(99.0), valueAt(100.0))
    }

    private fun timeline(measurements: List<Measurement>): List<SecondResult> = measurements
        .groupBy {
            Triple((it.planned.atMilliseconds / MILLISECONDS_PER_SECOND).toInt(), tierOf(it), it.planned.kind.name)
        }
        .map { (key, group) ->
            val (second, tier, kind) = key
            SecondResult(second, tier, kind, group.size, group.count { it.isAnsweredInTime })
        }
        .sortedWith(compareBy({ it.second }, { it.tier }, { it.kind }))
}
