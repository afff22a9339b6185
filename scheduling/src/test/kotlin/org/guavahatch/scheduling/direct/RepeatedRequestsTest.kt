package org.guavahatch.scheduling.direct

import kotlin.test.Test
import kotlin.test.assertEquals

class RepeatedRequestsTest {
    private class Case(val name: String, val earlier: List<Long>, val left: Long, val elapsed: Long)

    private val cases = listOf(
        Case("a first attempt has not waited", List(20) { 4_000L }, left = 4_000, elapsed = 0),
        Case("a first attempt with a little less time has not waited", List(20) { 4_000L }, left = 3_950, elapsed = 0),
        Case("a repeated request has waited", List(20) { 4_000L }, left = 2_700, elapsed = 1_300),
        Case(
            "a repeated request has waited, also when half of the requests are repeated",
            List(20) { if (it % 2 == 0) 4_000L else 2_600L },
            left = 2_700,
            elapsed = 1_300,
        ),
        Case("nothing is known of the first requests", List(3) { 4_000L }, left = 2_700, elapsed = 0),
        Case(
            "callers of a route with unlike limits have not waited",
            List(20) { 1_000L + it * 150 },
            left = 1_200,
            elapsed = 0,
        ),
    )

    @Test
    fun `a request with less time than usual is a repeated one`() = cases.forEach { case ->
        val repeated = RepeatedRequests()
        case.earlier.forEach { repeated.elapsedMilliseconds("route", it) }
        assertEquals(case.elapsed, repeated.elapsedMilliseconds("route", case.left), case.name)
        assertEquals(0, repeated.elapsedMilliseconds("other", case.left), "${case.name}, another route")
    }
}
