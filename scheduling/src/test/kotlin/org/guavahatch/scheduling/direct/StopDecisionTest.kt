package org.guavahatch.scheduling.direct

import kotlin.test.Test
import kotlin.test.assertEquals

class StopDecisionTest {
    private class SendCase(val name: String, val now: Long, val expected: Long, val isAllowed: Boolean)

    private val sends = listOf(
        SendCase("early and short", 0, 1_500, true),
        SendCase("early and too long", 0, 7_500, false),
        SendCase("late and short", 6_000, 1_000, true),
        SendCase("late and too long", 6_000, 1_500, false),
        SendCase("ends with the stop", 6_000, 1_440, false),
        SendCase("after the end", 7_500, 0, false),
    )

    // Guards against a request that is passed on shortly before the process ends, and is cut with it.
    @Test
    fun `a request is sent only if it is expected to end before the stop does`() {
        val stop = PlannedStop().apply { begin(endsAt = 7_440) }
        sends.forEach { assertEquals(it.isAllowed, stop.allowsSendAt(it.now, it.expected), it.name) }
    }

    @Test
    fun `nothing is held back before a stop`() {
        val stop = PlannedStop()
        sends.forEach { assertEquals(true, stop.allowsSendAt(it.now, it.expected), it.name) }
        assertEquals(false to false, stop.isStopping to stop.isOverAt(Long.MAX_VALUE))
    }

    private class ForecastCase(
        val name: String,
        val samples: List<Pair<Long, Long>>,
        val tokens: Long,
        val expected: Long?,
    )

    private val forecasts = listOf(
        ForecastCase("nothing known", emptyList(), 0, null),
        ForecastCase("an application", List(20) { 0L to 100L } + (0L to 1_500L), 0, 100),
        ForecastCase("several slow answers", List(20) { 0L to 100L } + List(4) { 0L to 1_500L }, 0, 1_500),
        ForecastCase("a longer answer takes longer", List(20) { 100L to 1_000L }, 300, 2_000),
    )

    @Test
    fun `the time of an answer is forecast from recent ones of its route`() = forecasts.forEach { case ->
        val forecast = CompletionForecast()
        case.samples.forEach { (tokens, milliseconds) -> forecast.record("route", tokens, milliseconds) }
        forecast.record("other", 0, 9_000)
        assertEquals(case.expected, forecast.expected("route", case.tokens), case.name)
    }
}
