package org.guavahatch.cli.report

import org.guavahatch.cli.load.GroupResult
import org.guavahatch.cli.load.LoadResult
import org.guavahatch.cli.load.Quantiles
import org.guavahatch.cli.load.SecondResult
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class BurnCalculatorTest {
    private val none = Quantiles(0, 0.0, 0.0, 0.0, 0.0)
    private val total = GroupResult("all", 0, 0, 0, 0, 0, 0, none, none, none)

    private fun result(vararg bySecond: Pair<Int, Int>) = LoadResult(
        seed = 1,
        seconds = bySecond.size - 1.0,
        total = total,
        tiers = emptyList(),
        kinds = emptyList(),
        reasons = emptyMap(),
        timeline = bySecond.mapIndexed { second, (sent, good) -> SecondResult(second, "till", "order", sent, good) },
        wrong = emptyList(),
    )

    private val calculator = BurnCalculator(mapOf("till" to 99.0), 90.0, listOf(1, 3))

    @Test
    fun `burn is the bad share over the share that the objective allows`() {
        class Case(val name: String, val result: LoadResult, val worst: List<Double>, val last: List<Double>)
        listOf(
            Case("all good", result(100 to 100, 100 to 100, 100 to 100), listOf(0.0, 0.0), listOf(0.0, 0.0)),
            Case("just spent", result(100 to 99, 100 to 99, 100 to 99), listOf(1.0, 1.0), listOf(1.0, 1.0)),
            Case("one bad second", result(100 to 100, 100 to 70, 100 to 100), listOf(30.0, 10.0), listOf(0.0, 10.0)),
            Case("idle seconds", result(0 to 0, 100 to 98, 0 to 0), listOf(2.0, 2.0), listOf(0.0, 2.0)),
        ).forEach { case ->
            val windows = calculator.report(case.result).tiers.single().windows
            windows.map {
                it.worst
            }.zip(case.worst).forEach { (found, wanted) -> assertEquals(wanted, found, 1e-9, case.name) }
            windows.map {
                it.last
            }.zip(case.last).forEach { (found, wanted) -> assertEquals(wanted, found, 1e-9, case.name) }
        }
    }

    @Test
    fun `the HTML report is self-contained and shows the burn`() {
        val page = HtmlReport.write(calculator.report(result(100 to 100, 100 to 70, 100 to 100)))
        assertTrue("data:image/png;base64," in page)
        assertTrue("<td class=\"over\">30.00</td>" in page, page.take(2000))
        assertTrue("http" !in page, "the page must not refer to external resources")
    }
}
