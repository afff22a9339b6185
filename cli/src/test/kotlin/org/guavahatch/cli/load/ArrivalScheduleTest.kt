package org.guavahatch.cli.load

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class ArrivalScheduleTest {
    private fun kind(name: String, weight: Double) =
        RequestKind(name, weight, RequestShape.LOOKUP, "/stock/{n}", "key", deadlineMilliseconds = 100)

    private fun mix(vararg ratePoints: Pair<Double, Double>) = LoadMix(
        seed = 1,
        arrivals = ratePoints.map { (atSeconds, perSecond) -> RatePoint(atSeconds, perSecond) },
        requests = listOf(kind("often", 3.0), kind("seldom", 1.0)),
    )

    @Test
    fun `the number of arrivals matches the area under the rate curve`() {
        class Case(val name: String, val mix: LoadMix, val expected: Double)
        listOf(
            Case("constant rate", mix(0.0 to 100.0, 50.0 to 100.0), 5000.0),
            Case("rising rate", mix(0.0 to 0.0, 50.0 to 200.0), 5000.0),
            Case("rate with a peak", mix(0.0 to 100.0, 10.0 to 300.0, 20.0 to 100.0), 4000.0),
        ).forEach { case ->
            val count = ArrivalSchedule.plan(case.mix, "test").size
            assertTrue(count in (case.expected * 0.95).toInt()..(case.expected * 1.05).toInt(), "${case.name}: $count")
        }
    }

    @Test
    fun `the same seed gives the same plan, sorted by time and with unique names`() {
        val mix = mix(0.0 to 50.0, 20.0 to 50.0)
        val plan = ArrivalSchedule.plan(mix, "test")
        assertEquals(plan, ArrivalSchedule.plan(mix, "test"))
        assertEquals(plan.sortedBy { it.atMilliseconds }, plan)
        assertEquals(plan.size, plan.map { it.name }.distinct().size)
        val share = plan.count { it.kind.name == "often" }.toDouble() / plan.size
        assertTrue(share in 0.7..0.8, "$share")
    }
}
