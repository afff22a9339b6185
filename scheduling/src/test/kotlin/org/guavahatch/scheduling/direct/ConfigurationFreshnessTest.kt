package org.guavahatch.scheduling.direct

import org.guavahatch.model.time.Clock
import kotlin.test.Test
import kotlin.test.assertEquals

class ConfigurationFreshnessTest {
    private class SeparateClocks : Clock {
        var monotonic = 10_000L
        var wall = 1_000_000L

        override fun monotonicMilliseconds() = monotonic

        override fun wallMilliseconds() = wall

        fun advance(milliseconds: Long) {
            monotonic += milliseconds
            wall += milliseconds
        }
    }

    private class Case(
        val name: String,
        val allowed: Boolean,
        val run: (SeparateClocks, ConfigurationFreshness) -> Unit,
    )

    private val cases = listOf(
        Case("keys are not served before the first confirmation", false) { _, _ -> },
        Case("keys are served up to the maximum age", true) { clock, freshness ->
            freshness.confirm(clock.monotonic, freshness.clockGaps)
            clock.advance(3_750)
        },
        Case("keys are not served beyond the maximum age", false) { clock, freshness ->
            freshness.confirm(clock.monotonic, freshness.clockGaps)
            clock.advance(3_751)
        },
        Case("a delayed confirmation counts from its request", false) { clock, freshness ->
            val requestedAt = clock.monotonic
            clock.advance(4_000)
            freshness.confirm(requestedAt, freshness.clockGaps)
        },
        Case("a suspension that stops the monotonic clock discards earlier confirmations", false) {
                clock,
                freshness,
            ->
            freshness.confirm(clock.monotonic, freshness.clockGaps)
            clock.wall += 6_000
        },
        Case("a confirmation requested before a suspension is ignored after it", false) { clock, freshness ->
            val requestedAt = clock.monotonic
            val clockGaps = freshness.clockGaps
            clock.wall += 6_000
            freshness.confirm(requestedAt, clockGaps)
        },
        Case("one new confirmation suffices after a jump of the wall clock", true) { clock, freshness ->
            freshness.confirm(clock.monotonic, freshness.clockGaps)
            clock.wall -= 2_000
            freshness.ageMilliseconds()
            freshness.confirm(clock.monotonic, freshness.clockGaps)
        },
        Case("an older confirmation does not replace a newer one", true) { clock, freshness ->
            val earlierRequest = clock.monotonic
            clock.advance(3_000)
            freshness.confirm(clock.monotonic, freshness.clockGaps)
            freshness.confirm(earlierRequest, freshness.clockGaps)
            clock.advance(3_000)
        },
    )

    @Test
    fun `keys are served only while the configuration is recently confirmed`() = cases.forEach { case ->
        val clock = SeparateClocks()
        val freshness = ConfigurationFreshness(
            clock,
            maximumKeyAgeMilliseconds = 3_750,
            maximumNegativeAnswerAgeMilliseconds = 2_000,
        )
        case.run(clock, freshness)
        assertEquals(case.allowed, freshness.allowsKeyedRequests(), case.name)
    }
}
