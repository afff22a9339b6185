package org.guavahatch.cli.report

import org.knowm.xchart.BitmapEncoder
import org.knowm.xchart.XYChart
import org.knowm.xchart.XYChartBuilder
import org.knowm.xchart.style.markers.SeriesMarkers
import java.awt.Color
import java.util.Base64
import java.util.Locale

/** Writes a burn report as one page that needs no other file. */
internal object HtmlReport {
    private const val WIDTH = 900
    private const val HEIGHT = 320
    private const val LOWEST_TOP = 2.0

    fun write(report: BurnReport): String = buildString {
        append("<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>Service-level burn</title>")
        append("<style>body{font-family:sans-serif;margin:2em;max-width:960px}table{border-collapse:collapse}")
        append("td,th{padding:.3em .8em;text-align:right;border-bottom:1px solid #ccc}td:first-child,th:first-child")
        append("{text-align:left}.over{color:#b00020;font-weight:bold}</style></head><body>")
        append("<h1>Service-level burn</h1><p>Burn 1 spends the error budget exactly; above 1 it is overspent.</p>")
        section("By tier", report.tiers)
        section("By kind of request", report.kinds)
        append("</body></html>\n")
    }

    private fun StringBuilder.section(title: String, groups: List<GroupBurn>) {
        append("<h2>$title</h2>")
        table(groups)
        append("<p><img alt=\"Burn by second\" src=\"data:image/png;base64,${plot(title, groups)}\"></p>")
    }

    private fun StringBuilder.table(groups: List<GroupBurn>) {
        val windows = groups.firstOrNull()?.windows.orEmpty().map { it.windowSeconds }
        append("<table><tr><th>Group</th><th>Objective</th><th>Sent</th><th>In time</th>")
        windows.forEach { append("<th>Worst $it s</th>") }
        append("</tr>")
        groups.forEach { group ->
            append("<tr><td>${escape(group.name)}</td><td>${number(group.objectivePercent)} %</td>")
            append("<td>${group.sent}</td><td>${group.good}</td>")
            group.windows.forEach { window ->
                val style = if (window.worst > 1) " class=\"over\"" else ""
                append("<td$style>${number(window.worst)}</td>")
            }
            append("</tr>")
        }
        append("</table>")
    }

    private fun plot(title: String, groups: List<GroupBurn>): String {
        val chart: XYChart = XYChartBuilder().width(WIDTH).height(HEIGHT).title("$title: burn by second")
            .xAxisTitle("seconds since the start").yAxisTitle("burn").build()
        chart.styler.setChartBackgroundColor(Color.WHITE)
        chart.styler.setYAxisMin(0.0)
        chart.styler.setYAxisMax(maxOf(LOWEST_TOP, groups.maxOfOrNull { highest(it) } ?: 0.0))
        groups.forEach { group ->
            val points = group.bySecond.withIndex().filter { it.value != null }
            val seconds = points.map { it.index.toDouble() }
            val burns = points.map { it.value ?: 0.0 }
            if (points.isNotEmpty()) chart.addSeries(group.name, seconds, burns).setMarker(SeriesMarkers.NONE)
        }
        return Base64.getEncoder().encodeToString(BitmapEncoder.getBitmapBytes(chart, BitmapEncoder.BitmapFormat.PNG))
    }

    private fun highest(group: GroupBurn) = group.bySecond.filterNotNull().maxOrNull() ?: 0.0

    private fun number(value: Double) = "%.2f".format(Locale.ROOT, value)

    private fun escape(text: String) = text.replace("&", "&amp;").replace("<", "&lt;")
}
