package org.guavahatch.scheduling.direct

import kotlin.test.Test
import kotlin.test.assertEquals

class FirstEventForecastTest {
    /**
     * @property samples prompt tokens and milliseconds to the first event
     * @property expected milliseconds for [promptTokens] with an objective of 800 ms
     */
    private class Case(
        val name: String,
        val samples: List<Pair<Long, Long>>,
        val promptTokens: Long,
        val expected: Long,
    )

    private val cases = listOf(
        Case("without samples a default holds", emptyList(), promptTokens = 3_000, expected = 100),
        Case("a request without a prompt gets the default", listOf(500L to 400L), promptTokens = 0, expected = 100),
        Case("the time grows with the prompt", listOf(500L to 100L), promptTokens = 4_500, expected = 300),
        Case("a long prompt is not late from the start", listOf(500L to 100L), promptTokens = 90_000, expected = 400),
        Case(
            "most samples are below the forecast",
            listOf(500L to 100L, 500L to 120L, 500L to 140L, 500L to 160L, 500L to 900L),
            promptTokens = 500,
            expected = 160,
        ),
    )

    @Test
    fun `the time to the first event follows the measured times`() = cases.forEach { case ->
        val forecast = FirstEventForecast()
        case.samples.forEach { (tokens, milliseconds) -> forecast.record(tokens, milliseconds) }
        assertEquals(case.expected, forecast.expected(case.promptTokens, objectiveMilliseconds = 800), case.name)
    }
}
