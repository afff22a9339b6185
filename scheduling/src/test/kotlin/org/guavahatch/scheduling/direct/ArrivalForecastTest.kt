package org.guavahatch.scheduling.direct

import org.guavahatch.model.time.ManualClock
import kotlin.test.Test
import kotlin.test.assertEquals

class ArrivalForecastTest {
    private class Case(val name: String, val order: Int, val expected: Double)

    private val cases = listOf(
        Case("nothing goes before the highest priority", order = 0, expected = 0.0),
        Case("the middle priority expects the highest", order = 1, expected = 10.0),
        Case("the lowest priority expects both", order = 2, expected = 15.0),
    )

    @Test
    fun `arrivals of higher priority are expected at their recent rate`() {
        val clock = ManualClock()
        val forecast = ArrivalForecast(clock)
        repeat(2_000) {
            clock.advance(10)
            forecast.record(order = 0)
            if (it % 2 == 0) forecast.record(order = 1)
        }
        cases.forEach { assertEquals(it.expected, forecast.expectedBefore(it.order, 100), 0.2, it.name) }
        clock.advance(20_000)
        cases.forEach { assertEquals(0.0, forecast.expectedBefore(it.order, 100), 0.01, "${it.name}, after a pause") }
    }
}
