package org.guavahatch.scheduling.direct

import org.guavahatch.model.time.Clock
import kotlin.test.Test
import kotlin.test.assertEquals

class ConfigurationFreshnessTest {
    private class TwoClocks : Clock {
        var monotonic = 10_000L
        var wall = 1_000_000L

        override fun monotonicMilliseconds() = monotonic

        override fun wallMilliseconds() = wall

        fun run(milliseconds: Long) {
            monotonic += milliseconds
            wall += milliseconds
        }
    }

    private class Case(val name: String, val allowed: Boolean, val act: (TwoClocks, ConfigurationFreshness) -> Unit)

    private val cases = listOf(
        Case("keys are not served before the first confirmation", false) { _, _ -> },
        Case("keys are served within the fence", true) { clock, freshness ->
            freshness.confirm(clock.monotonic, freshness.gaps)
            clock.run(3_750)
        },
        Case("keys are not served beyond the fence", false) { clock, freshness ->
            freshness.confirm(clock.monotonic, freshness.gaps)
            clock.run(3_751)
        },
        Case("a late answer counts from its question", false) { clock, freshness ->
            val asked = clock.monotonic
            clock.run(4_000)
            freshness.confirm(asked, freshness.gaps)
        },
        Case("a suspension that the monotonic clock does not count ends what was confirmed", false) {
                clock,
                freshness,
            ->
            freshness.confirm(clock.monotonic, freshness.gaps)
            clock.wall += 6_000
        },
        Case("a question asked before a suspension confirms nothing after it", false) { clock, freshness ->
            val asked = clock.monotonic
            val gaps = freshness.gaps
            clock.wall += 6_000
            freshness.confirm(asked, gaps)
        },
        Case("a jump of the wall clock costs one question", true) { clock, freshness ->
            freshness.confirm(clock.monotonic, freshness.gaps)
            clock.wall -= 2_000
            freshness.ageMilliseconds()
            freshness.confirm(clock.monotonic, freshness.gaps)
        },
        Case("an older confirmation does not replace a newer one", true) { clock, freshness ->
            val early = clock.monotonic
            clock.run(3_000)
            freshness.confirm(clock.monotonic, freshness.gaps)
            freshness.confirm(early, freshness.gaps)
            clock.run(3_000)
        },
    )

    @Test
    fun `keys are served only while the configuration is known to be the newest`() = cases.forEach { case ->
        val clock = TwoClocks()
        val freshness = ConfigurationFreshness(clock, fenceMilliseconds = 3_750, negativeMilliseconds = 2_000)
        case.act(clock, freshness)
        assertEquals(case.allowed, freshness.allowsKeys(), case.name)
    }
}
